package io.dragonflyturn.internal.fleet;

/**
 * An order to list active and ended runs, which normally also renews the lease of all active runs.
 *
 * @param leaseUntilMillis when the lease expires, in milliseconds of the worker's monotonic clock;
 *     {@link #NO_RENEWAL} to leave it unchanged
 * @param lastAcknowledgedEnd the highest end number that the leader has stored; the worker stops
 *     reporting ends up to it
 * @param waitMillis the long-poll timeout: how long the worker may wait for a run to end before it
 *     answers, in milliseconds
 * @param fence the fencing token of the term and of the life of the worker that the order is made
 *     for
 */
public record PollOrder(
    long leaseUntilMillis, long lastAcknowledgedEnd, long waitMillis, long fence) {
  /** The value of {@code leaseUntilMillis} that leaves the lease unchanged. */
  public static final long NO_RENEWAL = 0;
}
