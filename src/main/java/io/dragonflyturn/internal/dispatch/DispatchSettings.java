package io.dragonflyturn.internal.dispatch;

/**
 * What the platform's bounds say to the leader, in milliseconds.
 *
 * @param maximumLeaseMillis the longest lease that a worker grants
 * @param maximumStopMillis how long a stop takes at most
 * @param gangWaitMillis how long a member of a gang waits for the others
 */
public record DispatchSettings(long maximumLeaseMillis, long maximumStopMillis, long gangWaitMillis) {
  /** The longest lease that the leader asks for, in milliseconds. */
  private static final long LEASE_MILLIS = 6_000;

  /** Returns the lease that the leader asks for, in milliseconds. */
  long leaseMillis() {
    return Math.min(LEASE_MILLIS, maximumLeaseMillis);
  }
}
