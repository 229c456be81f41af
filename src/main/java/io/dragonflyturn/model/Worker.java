package io.dragonflyturn.model;

import java.util.Map;

/**
 * A worker of the platform, which runs tasks under leases and serves requests in a limited number
 * of slots. The same record describes it as a target of requests.
 *
 * @param name the unique name
 * @param address the IP address and port of its HTTP interface, such as {@code 127.0.0.1:8080}
 * @param failureDomain the failure domain of the worker
 * @param rack the rack of the worker
 * @param accelerators the number of accelerators, adjacent in index order
 * @param processors the number of processor cores
 * @param memoryMegabytes the memory in megabytes
 * @param requestSlots the maximum number of concurrent requests
 * @param leaving whether the platform's instance list marks the worker as leaving
 * @param labels the labels that the platform assigns to the worker
 */
public record Worker(
    String name,
    String address,
    String failureDomain,
    String rack,
    int accelerators,
    int processors,
    long memoryMegabytes,
    int requestSlots,
    boolean leaving,
    Map<String, String> labels) {
  /** Copies the labels. */
  public Worker {
    labels = Map.copyOf(labels);
  }

  /**
   * Returns a copy of this worker with additional labels, which take precedence over existing ones.
   */
  public Worker withLabels(Map<String, String> added) {
    return new Worker(
        name,
        address,
        failureDomain,
        rack,
        accelerators,
        processors,
        memoryMegabytes,
        requestSlots,
        leaving,
        Labels.merged(labels, added));
  }
}
