package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.Resources;
import java.util.List;

/**
 * A worker as the planner sees it.
 *
 * @param id the worker's identifier
 * @param service the service that it belongs to
 * @param rack its rack
 * @param labels its labels
 * @param healthy whether its recent runs give no reason to avoid it
 * @param capacity what it offers while nothing runs on it
 * @param allocations the runs on it, one for each member
 */
record WorkerSnapshot(
    String id,
    String service,
    String rack,
    List<String> labels,
    boolean healthy,
    Resources capacity,
    List<Allocation> allocations) {
  /**
   * A member of a run on a worker.
   *
   * @param unit the key of the unit that runs
   * @param priority the priority of its job
   * @param demand what it occupies
   * @param stopping whether it is being stopped
   * @param loss the work that a stop throws away, in core milliseconds of the whole unit
   */
  record Allocation(String unitKey, int priority, Resources demand, boolean stopping, long preemptionCost) {}
}
