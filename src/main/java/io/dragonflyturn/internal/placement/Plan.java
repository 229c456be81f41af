package io.dragonflyturn.internal.placement;

import java.util.List;
import java.util.Map;

/**
 * The result of one run of the placement policy.
 *
 * @param decisions the decisions, in the order in which they should be carried out
 * @param waitReasons why each job that stays queued waits, by job id
 * @param shortfalls descriptions of the guaranteed shapes that cannot be reclaimed now
 */
public record Plan(
    List<PlacementDecision> decisions,
    Map<String, WaitReason> waitReasons,
    List<String> shortfalls) {
  /** Creates a plan with copies of the collections. */
  public Plan {
    decisions = List.copyOf(decisions);
    waitReasons = Map.copyOf(waitReasons);
    shortfalls = List.copyOf(shortfalls);
  }
}
