package io.dragonflyturn.internal.gang;

/**
 * The leases and timeouts of gangs, all in milliseconds.
 *
 * @param reservationLease how long a reservation holds without an extension
 * @param firstRunLeaseMillis how long the first run lease holds; the whole gang must run within it
 * @param runLease how long a run lease holds once the whole gang runs
 * @param renewal the longest interval between renewals of a worker's leases
 * @param retry the interval after which an unanswered command is sent again
 * @param startTimeout how long a gang may wait for its reservations
 * @param memberSilence how long a worker may be silent before its members count as lost
 * @param messageLifetime how long an unanswered message may still arrive
 * @param adoption how long a lease that an earlier leader gave may hold from the change on
 */
public record GangTimings(
    long reservationLease,
    long firstRunLeaseMillis,
    long runLease,
    long renewal,
    long retry,
    long startTimeout,
    long memberSilence,
    long messageLifetime,
    long adoption) {
  /** Timings for networks within one region. */
  public static final GangTimings DEFAULT =
      new GangTimings(2_000, 2_000, 8_000, 1_500, 200, 3_000, 4_000, 5_000, 20_000);

  /** Checks that renewals fit into the leases. */
  public GangTimings {
    if (renewal >= runLease || retry >= firstRunLeaseMillis || firstRunLeaseMillis > runLease) {
      throw new IllegalArgumentException(
          "renewal must be below runLease, retry below firstRunLeaseMillis, and firstRunLeaseMillis at most"
              + " runLease");
    }
  }

  /** Returns the shortest interval between two exchanges that only ask for news. */
  long shortestPoll() {
    return retry;
  }

  /** Returns the part of the first run lease that is kept for the first extension to arrive. */
  long extensionMargin() {
    return firstRunLeaseMillis / 4;
  }
}
