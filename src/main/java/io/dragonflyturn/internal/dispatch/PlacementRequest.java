package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.Map;
import java.util.Set;

/**
 * A unit that waits for places.
 *
 * @param unit the unit's key
 * @param stepKey what the units of one step and occurrence share
 * @param service the service whose workers may run it
 * @param priority 0 to 2; 0 comes first
 * @param step what its tasks ask for
 * @param tasks the number of tasks, which are placed all or not at all
 * @param failedWorkers workers that failed the unit before
 * @param stepRunsByWorker the runs of the same step on each worker; counted where the step limits them
 * @param waitedMillis how long the unit has been ready, in milliseconds
 * @param preemptionDelayMillis how long the unit can wait before it displaces others, in milliseconds
 */
record PlacementRequest(
    String unitKey,
    String stepKey,
    String service,
    int priority,
    StepSpecification step,
    int tasks,
    Set<String> failedWorkers,
    Map<String, Integer> stepRunsByWorker,
    long waitedMillis,
    long preemptionDelayMillis) {
  /** The longest that a unit waits for its preferred rack, in milliseconds. */
  private static final long MAXIMUM_RACK_WAIT_MILLIS = 4_000;

  /** Says whether the unit may displace runs of less urgent jobs now. */
  boolean mayPreempt() {
    return waitedMillis >= preemptionDelayMillis;
  }

  /** Says whether the unit may still wait for the rack that its work prefers. */
  boolean mayWaitForRack() {
    return waitedMillis < Math.min(step.estimateMillis(), MAXIMUM_RACK_WAIT_MILLIS);
  }
}
