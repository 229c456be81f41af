package io.dragonflyturn.internal.log;

import java.time.Duration;

/** Tracks the age of this replica's view: the time since it was known to match the log. */
final class LogAge {
  private static final Duration UNKNOWN_AGE = Duration.ofDays(365);

  private final NanosecondClock clock;
  private volatile boolean known;
  private volatile long freshAtNanoseconds;

  LogAge(NanosecondClock clock) {
    this.clock = clock;
  }

  /** Records that all batches appended before the given clock reading have been applied. */
  void markFresh(long nanoseconds) {
    freshAtNanoseconds = nanoseconds;
    known = true;
  }

  boolean isKnown() {
    return known;
  }

  Duration age() {
    return known ? Duration.ofNanos(clock.nanoseconds() - freshAtNanoseconds) : UNKNOWN_AGE;
  }
}
