package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.Map;
import java.util.Set;

/**
 * A request to place a waiting unit.
 *
 * @param unitKey the key of the unit
 * @param stepKey the key of the step and occurrence that the unit belongs to
 * @param customer the customer that submitted the job; empty on an anonymous queue
 * @param service the service whose workers may run the unit
 * @param rank the rank of the job as defined by {@link UrgencyRanks}; lower ranks are more urgent
 * @param step the requirements of the tasks
 * @param tasks the number of tasks, which are placed all together or not at all
 * @param failedWorkers the identifiers of workers on which the unit failed or stalled before
 * @param stepRunsByWorker the number of runs of the step on each worker; empty if the step has no
 *     limit per worker
 * @param waitedMillis how long the unit has been ready to run, in milliseconds
 * @param preemptionDelayMillis how long the unit waits before it preempts other runs, in
 *     milliseconds
 * @param endWaitMillis how long the unit may still wait for runs to end by themselves, as defined
 *     by {@link PreemptionDelay#endWaitMillis}
 * @param objective until when the completion of the job is worth something
 * @param tier what waiting costs the caller
 * @param lastAttempt whether earlier runs of the unit failed, and one more failure ends its job
 */
public record PlacementRequest(
    String unitKey,
    String stepKey,
    String customer,
    String service,
    int rank,
    StepSpecification step,
    int tasks,
    Set<String> failedWorkers,
    Map<String, Integer> stepRunsByWorker,
    long waitedMillis,
    long preemptionDelayMillis,
    long endWaitMillis,
    JobObjective objective,
    ServiceTier tier,
    boolean lastAttempt) {
  private static final long MAXIMUM_RACK_WAIT_MILLIS = 4_000;

  /** How often a unit may be displaced by jobs that are not within a guarantee. */
  private static final int MAXIMUM_DISPLACEMENTS = 3;

  /**
   * Returns whether the unit may displace a run, if that is worth it. What a customer is guaranteed
   * is had from all work that is not within a guarantee itself, also from runs without an end.
   */
  boolean mayDisplace(WorkerSnapshot.Allocation run) {
    if (isWithinGuarantee()) {
      return !run.guaranteed();
    }
    return run.rank() > rank && run.displacements() < MAXIMUM_DISPLACEMENTS;
  }

  /**
   * Returns whether the unit's runs take room that can't be had for other work later, so that it
   * should be taken where least of it is left whole.
   */
  boolean holdsRoom() {
    return isWithinGuarantee() || step.endless();
  }

  /** Returns whether the job exceeds its customer's rate, so that it uses only idle room. */
  boolean exceedsRate() {
    return tier == ServiceTier.OVER_RATE && !isWithinGuarantee();
  }

  /** Returns whether the customer is guaranteed the room for the unit. */
  boolean isWithinGuarantee() {
    return rank == UrgencyRanks.GUARANTEED;
  }

  /** Returns whether the unit may preempt runs of less urgent jobs now. */
  boolean mayPreempt() {
    return waitedMillis >= preemptionDelayMillis;
  }

  /**
   * Returns whether the unit may still wait for its preferred rack. It waits no longer than its
   * tasks are estimated to run.
   */
  boolean mayWaitForRack() {
    return waitedMillis < Math.min(step.estimateMillis(), MAXIMUM_RACK_WAIT_MILLIS);
  }
}
