package io.dragonflyturn.internal.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which slots entries may still use: the allotment in force, and each replaced one until
 * it has drained.
 *
 * <p>An entry learns of a new allotment within the freshness bound, or stops sending; what it sent
 * before ends by the longest deadline and the hold of lost answers. The drain time is the sum. A
 * planner that takes over does not know what was replaced before, so it knows for the first drain
 * time only that every slot may be in use. Not safe for use by several threads.
 */
public final class CreditHistory {
  private final Duration drainTime;
  private final List<Allotment> allotments = new ArrayList<>();
  private final Instant knownFrom;

  /**
   * Creates the history of a planner that takes over.
   *
   * @param settings the settings of the entries
   * @param inForce the allotment in force, from the control state; empty where there never was one
   * @param now the monotonic time of the take-over
   */
  public CreditHistory(
      RequestSettings settings, Map<String, Map<String, Integer>> inForce, Instant now) {
    this.drainTime = drainTime(settings);
    this.knownFrom = inForce.isEmpty() ? now : now.plus(drainTime);
    allotments.add(new Allotment(inForce, Instant.MAX));
  }

  /** Returns how long after its replacement an allotment may still be in use. */
  public static Duration drainTime(RequestSettings settings) {
    return settings
        .freshnessBound()
        .plus(settings.maximumDeadline())
        .plus(settings.lostAnswerGracePeriod());
  }

  /** Returns whether the history reaches back far enough for a new allotment. */
  public boolean isComplete(Instant now) {
    return !now.isBefore(knownFrom);
  }

  /** Notes that a new allotment is in force. */
  public void replace(Map<String, Map<String, Integer>> inForce, Instant now) {
    int last = allotments.size() - 1;
    allotments.set(last, new Allotment(allotments.get(last).slots(), now.plus(drainTime)));
    allotments.add(new Allotment(inForce, Instant.MAX));
    allotments.removeIf(allotment -> !now.isBefore(allotment.usableUntil()));
  }

  /** Returns the most slots that each entry may use now, by entry and worker. */
  public Map<String, Map<String, Integer>> usableSlots(Instant now) {
    Map<String, Map<String, Integer>> held = new HashMap<>();
    for (Allotment allotment : allotments) {
      if (now.isBefore(allotment.usableUntil())) {
        allotment.slots().forEach((entry, slots) -> addMost(held, entry, slots));
      }
    }
    return held;
  }

  private static void addMost(
      Map<String, Map<String, Integer>> held, String entry, Map<String, Integer> slots) {
    Map<String, Integer> most = held.computeIfAbsent(entry, unused -> new HashMap<>());
    slots.forEach((worker, count) -> most.merge(worker, count, Math::max));
  }

  private record Allotment(Map<String, Map<String, Integer>> slots, Instant usableUntil) {}
}
