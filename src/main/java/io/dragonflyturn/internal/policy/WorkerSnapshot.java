package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.List;
import java.util.function.Predicate;

/**
 * The state of a worker at the start of a planning round.
 *
 * @param id the identifier of the worker
 * @param service the service that the worker belongs to
 * @param rack the rack of the worker
 * @param labels the labels of the worker
 * @param condition what the latest runs on the worker say about it
 * @param speed how fast the worker runs tasks compared with others
 * @param capacity the total resources of the worker
 * @param allocations the resources allocated to runs, one entry for each member on the worker
 */
public record WorkerSnapshot(
    String id,
    String service,
    String rack,
    List<String> labels,
    WorkerCondition condition,
    WorkerSpeed speed,
    Resources capacity,
    List<Allocation> allocations) {
  /** Returns whether the worker is not excluded because of recent failures. */
  public boolean healthy() {
    return condition != WorkerCondition.EXCLUDED;
  }

  /** Returns whether a run of an urgent job that can be preempted is on the worker. */
  boolean runsUrgentJob() {
    return allocations.stream().anyMatch(Allocation::isUrgent);
  }

  /** Returns the resources that are not allocated to runs which are never preempted. */
  Resources preemptibleCapacity() {
    return capacityWithout(each -> each.rank() == UrgencyRanks.NOT_PREEMPTIBLE);
  }

  /** Returns the resources that less urgent jobs could use if all of their runs were over. */
  Resources capacityBesideUrgentRuns() {
    return capacityWithout(each -> each.isUrgent() || each.rank() == UrgencyRanks.NOT_PREEMPTIBLE);
  }

  private Resources capacityWithout(Predicate<Allocation> excluded) {
    Resources remaining = capacity;
    for (Allocation allocation : allocations) {
      remaining = excluded.test(allocation) ? remaining.minus(allocation.demand()) : remaining;
    }
    return remaining;
  }

  /**
   * The resources that are allocated to a member of a run.
   *
   * @param unitKey the key of the unit
   * @param rank the rank of the job, or {@link UrgencyRanks#NOT_PREEMPTIBLE}
   * @param demand the allocated resources
   * @param stopping whether the run is being stopped
   * @param preemptionCost the work that the whole unit loses if it is preempted, in
   *     core-milliseconds
   * @param customer the customer whose job the run belongs to
   * @param remainingMillis the estimated time until the run ends by itself
   * @param displacements how often the unit was preempted before
   * @param guaranteed whether the customer is guaranteed the room of the run
   * @param requiredLabel the label that another worker must have to run the unit; empty for none
   */
  public record Allocation(
      String unitKey,
      int rank,
      Resources demand,
      boolean stopping,
      long preemptionCost,
      String customer,
      long remainingMillis,
      int displacements,
      boolean guaranteed,
      String requiredLabel) {
    /** Creates the allocation of a run that any worker of the service can run. */
    public Allocation(
        String unitKey,
        int rank,
        Resources demand,
        boolean stopping,
        long preemptionCost,
        String customer,
        long remainingMillis,
        int displacements) {
      this(
          unitKey,
          rank,
          demand,
          stopping,
          preemptionCost,
          customer,
          remainingMillis,
          displacements,
          rank == UrgencyRanks.GUARANTEED,
          "");
    }

    /**
     * Returns the work that the whole unit loses, counted once more for each time that it was
     * displaced before, so that no task is displaced again and again.
     */
    long displacementCost() {
      return preemptionCost * (1 + displacements);
    }

    /** Returns whether the run has no end, and is preempted only for what others are guaranteed. */
    boolean isLasting() {
      return rank == UrgencyRanks.NOT_PREEMPTIBLE;
    }

    /**
     * Returns whether the room of the run can't be had for other work, at least not by priority.
     */
    boolean holdsRoom() {
      return guaranteed || isLasting();
    }

    /** Returns whether the run belongs to an urgent job, and can be preempted. */
    boolean isUrgent() {
      return rank <= UrgencyRanks.URGENT && rank != UrgencyRanks.NOT_PREEMPTIBLE;
    }
  }
}
