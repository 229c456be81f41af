package io.dragonflyturn.internal.log;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Exponential backoff with jitter after failed calls. The jitter prevents replicas from retrying at
 * the same time. Not thread-safe.
 */
final class RetryBackoff {
  private static final int MAX_DOUBLINGS = 4;

  private final long meanNanoseconds;
  private final SplittableRandom random;
  private int consecutiveFailures;

  RetryBackoff(Duration mean, long seed) {
    this.meanNanoseconds = mean.toNanos();
    this.random = new SplittableRandom(seed);
  }

  void reset() {
    consecutiveFailures = 0;
  }

  /** Records a failure, and returns the next delay in nanoseconds. */
  long nextDelayNanoseconds() {
    long currentMeanNanoseconds = meanNanoseconds << Math.min(consecutiveFailures, MAX_DOUBLINGS);
    consecutiveFailures++;
    return (long) (currentMeanNanoseconds * (0.5 + random.nextDouble()));
  }

  void sleep() throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(nextDelayNanoseconds());
  }
}
