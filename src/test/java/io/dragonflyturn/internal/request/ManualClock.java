package io.dragonflyturn.internal.request;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock and a timer that a test advances manually. */
public final class ManualClock extends Clock implements RequestTimer {
  private final PriorityQueue<ScheduledAction> actions =
      new PriorityQueue<>(
          Comparator.comparing(ScheduledAction::due).thenComparing(ScheduledAction::sequence));
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long sequence;

  @Override
  public Cancellable schedule(Duration delay, Runnable action) {
    ScheduledAction scheduled =
        new ScheduledAction(
            now.plus(delay.isNegative() ? Duration.ZERO : delay), sequence++, action);
    actions.add(scheduled);
    return () -> actions.remove(scheduled);
  }

  /** Advances the time and runs all actions that become due, in order. */
  public void advance(Duration duration) {
    Instant end = now.plus(duration);
    while (!actions.isEmpty() && !actions.element().due().isAfter(end)) {
      ScheduledAction next = actions.remove();
      now = next.due();
      next.action().run();
    }
    now = end;
  }

  @Override
  public Instant instant() {
    return now;
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  private record ScheduledAction(Instant due, long sequence, Runnable action) {}
}
