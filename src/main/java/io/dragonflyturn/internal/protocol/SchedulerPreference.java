package io.dragonflyturn.internal.protocol;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Tracks which scheduler to call: the first one, or after a failover another one for a limited
 * time.
 */
final class SchedulerPreference {
  /** The time after a failover until the first scheduler is tried again. */
  private static final Duration FAILBACK_DELAY = Duration.ofSeconds(10);

  private final int count;
  private final InstantSource clock;
  private int index;
  private Instant failedOverAt;

  SchedulerPreference(int count, InstantSource clock) {
    this.count = count;
    this.clock = clock;
    this.failedOverAt = clock.instant();
  }

  /** Returns the index of the scheduler to call. */
  synchronized int current() {
    if (index != 0 && clock.instant().isAfter(failedOverAt.plus(FAILBACK_DELAY))) {
      index = 0;
    }
    return index;
  }

  /** Records that a scheduler did not answer, and returns the index of the next one to call. */
  synchronized int failOver(int failed) {
    int next = (failed + 1) % count;
    if (index == failed) {
      index = next;
      failedOverAt = clock.instant();
    }
    return next;
  }
}
