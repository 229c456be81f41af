package io.dragonflyturn.standin;

/**
 * Token bucket that limits the append rate of the log stand-in. Its capacity is the number of
 * appends allowed in {@value #BURST_SECONDS} seconds, but at least one.
 */
final class AppendRateLimiter {
  private static final double BURST_SECONDS = 0.1;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final double perSecond;
  private double tokens;
  private long lastMillis;

  AppendRateLimiter(double perSecond, long nowMillis) {
    this.perSecond = perSecond;
    this.tokens = bucketCapacity();
    this.lastMillis = nowMillis;
  }

  /**
   * Takes one token from the bucket.
   *
   * @return how long the append has to wait, in milliseconds; 0 if it may proceed at once
   */
  synchronized long acquire(long nowMillis) {
    double refilled = tokens + (nowMillis - lastMillis) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(bucketCapacity(), refilled) - 1;
    lastMillis = nowMillis;
    return tokens >= 0 ? 0 : (long) Math.ceil(-tokens * MILLIS_PER_SECOND / perSecond);
  }

  private double bucketCapacity() {
    return Math.max(1, perSecond * BURST_SECONDS);
  }
}
