package io.dragonflyturn.internal.fleet;

import io.dragonflyturn.internal.workload.Resources;
import java.util.List;

/**
 * The registration that a worker reports about itself.
 *
 * @param id the worker's identifier
 * @param incarnation the start time of the worker process, in milliseconds since the epoch;
 *     identifies the worker's incarnation
 * @param service the service that the worker belongs to
 * @param address the address to which orders are sent, such as {@code 10.0.0.1:8080}
 * @param failureDomain the failure domain of the worker
 * @param labels the worker's kind and its rack, in this order
 * @param capacity the resources that the worker offers to tasks
 * @param draining whether the worker is about to leave
 * @param drainRemainingMillis the minimum time for which a draining worker keeps running, in
 *     milliseconds
 * @param coldRemainingMillis how much longer the worker is slow after its start, in milliseconds
 * @param clockMillis the time of the worker's monotonic clock when it reported, in milliseconds
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
    long coldRemainingMillis,
    long clockMillis) {
  private static final int RACK_LABEL_INDEX = 1;

  /** Copies the labels. */
  public WorkerRegistration {
    labels = List.copyOf(labels);
  }

  /** Returns the rack; empty if the worker reports none. */
  public String rack() {
    return labels.size() > RACK_LABEL_INDEX ? labels.get(RACK_LABEL_INDEX) : "";
  }
}
