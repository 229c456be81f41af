package io.dragonflyturn.internal.dispatch;

/**
 * What the platform's bounds say to the leader, in milliseconds.
 *
 * @param longestLeaseMillis the longest lease that a worker grants
 * @param stopMillis how long a stop takes at most
 * @param gangMillis how long a member of a gang waits for the others
 */
public record DispatchSettings(long longestLeaseMillis, long stopMillis, long gangMillis) {
  /** The longest lease that the leader asks for, in milliseconds. */
  private static final long LEASE_MILLIS = 6_000;

  /** Returns the lease that the leader asks for, in milliseconds. */
  long leaseMillis() {
    return Math.min(LEASE_MILLIS, longestLeaseMillis);
  }
}
