package io.dragonflyturn.internal.dispatch;

import java.util.List;
import java.util.Map;

/**
 * What the planner decided in one round.
 *
 * @param placed the units to start, in order
 * @param stopped the units to stop, each with the more urgent unit that gets its room
 * @param waiting why each other unit waits
 * @param searches for how many units the fleet was searched
 */
record PlacementPlan(
    List<PlacedUnit> placed,
    Map<String, String> preempted,
    Map<String, WaitCause> waiting,
    int searches) {
  /**
   * A unit with a worker for each of its tasks.
   *
   * @param unit the unit's key
   * @param workers the worker of each task, in the order of the tasks
   */
  record PlacedUnit(String unitKey, List<String> workers) {}

  /** Why a unit waits. */
  enum WaitCause {
    /** No worker of the service may run it. */
    NO_ELIGIBLE_WORKER,
    /** The eligible workers have too little room. */
    INSUFFICIENT_RESOURCES,
    /** Runs of less urgent jobs are being stopped for it. */
    PREEMPTING
  }
}
