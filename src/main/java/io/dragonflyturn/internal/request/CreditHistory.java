package io.dragonflyturn.internal.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which slots entries may still be using: those of the current allocation, and those of each
 * replaced allocation until it has drained.
 *
 * <p>An entry either learns of a new allocation within the freshness bound or stops sending. A
 * request that it sent before ends within the maximum deadline plus the grace period for lost
 * answers. The drain time is the sum of the three. A leader that has just taken over does not know
 * the allocations replaced earlier, so it has to assume for one drain time that every slot may be
 * in use.
 *
 * <p>Not thread-safe.
 */
public final class CreditHistory {
  private final Duration drainTime;
  private final List<Allocation> allocations = new ArrayList<>();
  private final Instant completeFrom;

  /**
   * Creates the history of a leader that takes over.
   *
   * @param settings the request settings of the entries
   * @param current the current allocation according to the control state; empty if there never was
   *     one
   * @param now the monotonic time of the takeover
   */
  public CreditHistory(
      RequestSettings settings, Map<String, Map<String, Integer>> current, Instant now) {
    this.drainTime = drainTime(settings);
    this.completeFrom = current.isEmpty() ? now : now.plus(drainTime);
    allocations.add(new Allocation(current, Instant.MAX));
  }

  /** Returns how long an allocation may still be in use after its replacement. */
  public static Duration drainTime(RequestSettings settings) {
    return settings
        .freshnessBound()
        .plus(settings.maximumDeadline())
        .plus(settings.lostAnswerGracePeriod());
  }

  /**
   * Returns whether the history covers a full drain time, so that a new allocation can be computed.
   */
  public boolean isComplete(Instant now) {
    return !now.isBefore(completeFrom);
  }

  /** Replaces the current allocation. */
  public void replace(Map<String, Map<String, Integer>> current, Instant now) {
    int last = allocations.size() - 1;
    allocations.set(last, new Allocation(allocations.get(last).slots(), now.plus(drainTime)));
    allocations.add(new Allocation(current, Instant.MAX));
    allocations.removeIf(allocation -> !now.isBefore(allocation.usableUntil()));
  }

  /** Returns the maximum number of slots that each entry may be using now, by entry and worker. */
  public Map<String, Map<String, Integer>> usableSlots(Instant now) {
    Map<String, Map<String, Integer>> usableSlots = new HashMap<>();
    for (Allocation allocation : allocations) {
      if (now.isBefore(allocation.usableUntil())) {
        allocation.slots().forEach((entry, slots) -> mergeMaximum(usableSlots, entry, slots));
      }
    }
    return usableSlots;
  }

  private static void mergeMaximum(
      Map<String, Map<String, Integer>> usableSlots, String entry, Map<String, Integer> slots) {
    Map<String, Integer> maximum = usableSlots.computeIfAbsent(entry, unused -> new HashMap<>());
    slots.forEach((worker, count) -> maximum.merge(worker, count, Math::max));
  }

  private record Allocation(Map<String, Map<String, Integer>> slots, Instant usableUntil) {}
}
