package io.dragonflyturn.internal.intake;

import java.time.Duration;

/**
 * Decides when a caller whose call was refused should try again.
 *
 * <p>It answers the load of an outage of the store that lasts for seconds: callers make only a few
 * attempts, and with a short constant delay they have made them all before the store is back. An
 * outage that has lasted for some time is likely to last about as long again, so the delay grows
 * with it. Callers that were refused at different times come back at different times.
 */
final class RetryAfter {
  private static final long MINIMUM_SECONDS = 1;
  private static final long MAXIMUM_SECONDS = 3;

  private RetryAfter() {}

  /**
   * Returns the delay before the next attempt, in seconds.
   *
   * @param outage how long the store has been unreachable; zero if it is reachable
   */
  static long seconds(Duration outage) {
    return Math.clamp(MINIMUM_SECONDS + outage.toSeconds(), MINIMUM_SECONDS, MAXIMUM_SECONDS);
  }
}
