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
 * @param trusted whether its recent runs give no reason to avoid it
 * @param capacity what it offers while nothing runs on it
 * @param occupants the runs on it, one for each member
 */
record WorkerSpace(
    String id,
    String service,
    String rack,
    List<String> labels,
    boolean trusted,
    Resources capacity,
    List<Occupant> occupants) {
  /**
   * A member of a run on a worker.
   *
   * @param unit the key of the unit that runs
   * @param priority the priority of its job
   * @param demand what it occupies
   * @param leaving whether it is being stopped
   * @param loss the work that a stop throws away, in core milliseconds of the whole unit
   */
  record Occupant(String unit, int priority, Resources demand, boolean leaving, long loss) {}
}
