package io.dragonflyturn.internal.policy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The decisions of the planner in one round.
 *
 * @param placed the units to start, in planning order
 * @param preempted the units to stop, by unit key
 * @param waiting why each unit that was not placed waits, by unit key
 * @param expectedWaitMillis how long each unit that waits for {@link WaitCause#EXPECTED_ENDS} is
 *     expected to wait, by unit key
 * @param searches the number of units for which the planner searched the fleet
 * @param cut whether units are left for the next round, because this one has decided enough
 */
public record PlacementPlan(
    List<PlacedUnit> placed,
    Map<String, Preemption> preempted,
    Map<String, WaitCause> waiting,
    Map<String, Long> expectedWaitMillis,
    int searches,
    boolean cut) {
  /** Returns the keys of the units that wait for runs which are being stopped. */
  public Set<String> preemptingUnits() {
    return waiting.entrySet().stream()
        .filter(each -> each.getValue() == WaitCause.PREEMPTING)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * A unit to start, with a worker for each of its tasks.
   *
   * @param unitKey the key of the unit
   * @param workers the identifier of the worker for each task, in task order
   */
  public record PlacedUnit(String unitKey, List<String> workers) {}

  /**
   * Why a unit is stopped. All work is in core-milliseconds.
   *
   * @param preemptor the key of the more urgent unit that needs its resources
   * @param cost the work that is lost
   * @param totalCost the work that is lost by all units that are stopped for the same one, with
   *     that of urgent jobs and of units that were displaced before counted several times
   * @param won the work that may be lost at most for the more urgent unit to be on time
   */
  public record Preemption(String preemptor, long cost, long totalCost, long won) {}

  /** Why a unit waits. */
  public enum WaitCause {
    /** The unit would bring its customer above its limit over all workers. */
    CUSTOMER_LIMIT,
    /** The job exceeds the rate of its customer, and the other jobs leave no room for it. */
    OVER_RATE,
    /** No worker of the service may run the unit. */
    NO_ELIGIBLE_WORKER,
    /** The eligible workers have insufficient free resources. */
    INSUFFICIENT_RESOURCES,
    /** Runs that are expected to end by themselves in time free sufficient resources. */
    EXPECTED_ENDS,
    /** Stopping less urgent runs would lose more than the unit would gain by being on time. */
    PREEMPTION_NOT_WORTH_IT,
    /** Runs of less urgent jobs are being stopped to free resources for the unit. */
    PREEMPTING,
    /** Free workers are slow, and others will be free so soon that the unit ends earlier there. */
    FASTER_WORKERS,
    /** The last attempt waits a little for workers on which runs have progressed lately. */
    PROVEN_WORKERS
  }
}
