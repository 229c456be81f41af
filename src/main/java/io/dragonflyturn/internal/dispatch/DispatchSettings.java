package io.dragonflyturn.internal.dispatch;

/**
 * The limits of the platform that the leader complies with.
 *
 * @param maximumLeaseMillis the longest lease that a worker accepts, in milliseconds
 * @param maximumStopMillis the maximum time that a worker takes to stop a run, in milliseconds
 * @param gangWaitMillis the maximum time that a member of a gang waits for the other members, in
 *     milliseconds
 * @param quotaWindowMillis the time whose jobs a customer may submit at once, in milliseconds
 * @param reclaimMillis the maximum time from the acceptance of an urgent job within its customer's
 *     guarantee until all tasks of its first step have begun, in milliseconds
 */
public record DispatchSettings(
    long maximumLeaseMillis,
    long maximumStopMillis,
    long gangWaitMillis,
    long quotaWindowMillis,
    long reclaimMillis) {
  /** The time to reclaim guaranteed resources if the platform does not give one. */
  public static final long DEFAULT_RECLAIM_MILLIS = 2_500;

  /** The lease that the leader requests if the worker accepts it, in milliseconds. */
  private static final long PREFERRED_LEASE_MILLIS = 6_000;

  /** Returns the duration of the leases that the leader requests, in milliseconds. */
  long leaseMillis() {
    return Math.min(PREFERRED_LEASE_MILLIS, maximumLeaseMillis);
  }
}
