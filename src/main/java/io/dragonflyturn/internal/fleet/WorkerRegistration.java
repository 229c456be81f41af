package io.dragonflyturn.internal.fleet;

import io.dragonflyturn.internal.workload.Resources;
import java.util.List;

/**
 * What a worker says of itself.
 *
 * @param id the worker's identifier
 * @param incarnation the start of its life, in milliseconds since 1970
 * @param service the service that it belongs to
 * @param address where it takes orders, as {@code 10.0.0.1:8080}
 * @param failureDomain the failure domain that it stands in
 * @param labels its kind and its rack
 * @param capacity what it offers to tasks
 * @param draining whether it is about to leave
 * @param drainRemainingMillis how long it stays at least while it drains, in milliseconds
 * @param clockMillis its own steady clock when it reported, in milliseconds
 */
public record WorkerRegistration(
    String id,
    long incarnation,
    String service,
    String address,
    String failureDomain,
    List<String> labels,
    Resources capacity,
    boolean draining,
    long drainRemainingMillis,
    long clockMillis) {
  private static final int RACK_LABEL = 1;

  /** Keeps its own copy of the labels. */
  public WorkerRegistration {
    labels = List.copyOf(labels);
  }

  /** Returns the rack; empty where the worker names none. */
  public String rack() {
    return labels.size() > RACK_LABEL ? labels.get(RACK_LABEL) : "";
  }
}
