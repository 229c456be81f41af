package io.dragonflyturn.internal.log;

/**
 * Limits the append rate of one writer with a token bucket. After an idle period, a burst of
 * appends is not delayed; under load, records accumulate into larger batches until the next append
 * is allowed.
 *
 * <p>Not thread-safe.
 */
final class AppendRateLimiter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final double tokensPerNanosecond;
  private final double maxTokens;
  private double availableTokens;
  private long lastRefillNanoseconds;

  AppendRateLimiter(int appendsPerSecond, int maxTokens, long nowNanoseconds) {
    this.tokensPerNanosecond = appendsPerSecond / NANOSECONDS_PER_SECOND;
    this.maxTokens = maxTokens;
    this.availableTokens = maxTokens;
    this.lastRefillNanoseconds = nowNanoseconds;
  }

  /** Returns the delay before the next append in nanoseconds; 0 if it may be sent immediately. */
  long delayNanoseconds(long nowNanoseconds) {
    refill(nowNanoseconds);
    return availableTokens >= 1 ? 0 : (long) Math.ceil((1 - availableTokens) / tokensPerNanosecond);
  }

  void recordAppend(long nowNanoseconds) {
    refill(nowNanoseconds);
    availableTokens -= 1;
  }

  private void refill(long nowNanoseconds) {
    double newTokens = (nowNanoseconds - lastRefillNanoseconds) * tokensPerNanosecond;
    availableTokens = Math.min(maxTokens, availableTokens + newTokens);
    lastRefillNanoseconds = nowNanoseconds;
  }
}
