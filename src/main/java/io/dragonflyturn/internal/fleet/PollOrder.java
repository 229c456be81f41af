package io.dragonflyturn.internal.fleet;

/**
 * Asks what runs on a worker and what has ended there, and renews the lease of all that runs.
 *
 * @param leaseUntilMillis when the lease ends, on the worker's steady clock in milliseconds; {@link
 *     #NO_RENEWAL} to leave it as it is
 * @param lastAcknowledgedEnd the number of the last end that is recorded
 * @param waitMillis how long the worker may wait for an end before it answers, in milliseconds
 * @param fence the fencing token
 */
public record PollOrder(long leaseUntilMillis, long lastAcknowledgedEnd, long waitMillis, long fence) {
  /** Leaves the lease as it is. */
  public static final long NO_RENEWAL = 0;
}
