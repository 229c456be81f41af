package io.dragonflyturn.internal.gang;

/**
 * The leases and timeouts of gangs, in milliseconds.
 *
 * @param reservationLeaseMillis the duration of a reservation lease
 * @param firstRunLeaseMillis the duration of the first run lease; all members must start within it
 * @param runLeaseMillis the duration of a run lease after all members have started
 * @param renewalIntervalMillis the maximum interval between renewals of the leases on a worker
 * @param retryIntervalMillis the interval after which an unanswered command is sent again
 * @param startTimeoutMillis the maximum time that a gang waits for its reservations
 * @param memberTimeoutMillis the time without an answer after which the members on a worker are
 *     considered lost
 * @param messageLifetimeMillis the maximum time after which an unanswered message may still arrive
 * @param adoptedLeaseMillis the maximum time after a leader change during which a lease of the
 *     earlier leader may still be valid
 */
public record GangTimings(
    long reservationLeaseMillis,
    long firstRunLeaseMillis,
    long runLeaseMillis,
    long renewalIntervalMillis,
    long retryIntervalMillis,
    long startTimeoutMillis,
    long memberTimeoutMillis,
    long messageLifetimeMillis,
    long adoptedLeaseMillis) {
  /** The default timings, suitable for networks within one region. */
  public static final GangTimings DEFAULT =
      new GangTimings(2_000, 2_000, 8_000, 1_500, 200, 3_000, 4_000, 5_000, 20_000);

  /** Validates that the renewal and retry intervals are shorter than the leases. */
  public GangTimings {
    if (renewalIntervalMillis >= runLeaseMillis
        || retryIntervalMillis >= firstRunLeaseMillis
        || firstRunLeaseMillis > runLeaseMillis) {
      throw new IllegalArgumentException(
          "renewalIntervalMillis must be less than runLeaseMillis, retryIntervalMillis less than"
              + " firstRunLeaseMillis, and firstRunLeaseMillis at most runLeaseMillis");
    }
  }

  /** Returns the minimum interval between two exchanges that only poll for the state of tasks. */
  long minPollIntervalMillis() {
    return retryIntervalMillis;
  }

  /** Returns the part of the first run lease that is reserved for the first extension to arrive. */
  long extensionMarginMillis() {
    return firstRunLeaseMillis / 4;
  }
}
