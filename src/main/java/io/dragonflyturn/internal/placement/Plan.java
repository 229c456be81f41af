package io.dragonflyturn.internal.placement;

import java.util.List;
import java.util.Map;

/**
 * What the policy wants done now.
 *
 * @param decisions the decisions, in the order in which they should be carried out
 * @param waitReasons why each job that stays queued waits, by job id
 * @param shortfalls guaranteed shapes that cannot be reclaimed at present, one sentence for each
 */
public record Plan(
    List<PlacementDecision> decisions, Map<String, WaitReason> waitReasons, List<String> shortfalls) {
  /** Copies the collections. */
  public Plan {
    decisions = List.copyOf(decisions);
    waitReasons = Map.copyOf(waitReasons);
    shortfalls = List.copyOf(shortfalls);
  }
}
