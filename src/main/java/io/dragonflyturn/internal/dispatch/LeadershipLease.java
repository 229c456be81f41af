package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.StoreStatus;
import java.time.InstantSource;

/**
 * Bounds the leases that a leader grants to workers by what it last read from the store.
 *
 * <p>Only the store tells whether a term is still in force. A leader that has read the jobs topic
 * to its end without finding a later term knows that its own term was in force when it sent that
 * read, and grants no lease that ends later than {@link #DURATION_MILLIS} after it. A successor is
 * elected after any such read, so the leases of all earlier leaders have ended {@link
 * #DURATION_MILLIS} after its own election, also on workers that it cannot reach.
 */
final class LeadershipLease {
  /**
   * How long leases may outlast the last read that showed the term to be in force. Runs survive an
   * outage of the store that is a few seconds shorter, and a successor waits for as long before it
   * restarts the runs of workers that it cannot reach.
   */
  private static final long DURATION_MILLIS = 12_000;

  private final StoreStatus jobsTopic;
  private final InstantSource monotonicClock;
  private final long leaseMillis;

  /**
   * Creates the lease of a term.
   *
   * @param jobsTopic how old this instance's copy of the jobs topic is
   * @param monotonicClock a clock that never goes back
   * @param leaseMillis the duration of a worker's lease while the store is reachable
   */
  LeadershipLease(StoreStatus jobsTopic, InstantSource monotonicClock, long leaseMillis) {
    this.jobsTopic = jobsTopic;
    this.monotonicClock = monotonicClock;
    this.leaseMillis = leaseMillis;
  }

  /**
   * Returns when all leases that earlier leaders granted have ended.
   *
   * @param electedMillis when the current leader learned of its election
   */
  static long endOfEarlierLeasesMillis(long electedMillis) {
    return electedMillis + DURATION_MILLIS;
  }

  /** Returns when a lease that is granted now ends. */
  long workerLeaseEndMillis() {
    return Math.min(monotonicClock.millis() + leaseMillis, endMillis());
  }

  /** Returns whether a lease that is granted now ends early, because the last read is old. */
  boolean shortensWorkerLeases() {
    return endMillis() < monotonicClock.millis() + leaseMillis;
  }

  /** Returns whether no lease may be granted any more. */
  boolean hasExpired() {
    return endMillis() <= monotonicClock.millis();
  }

  private long endMillis() {
    return monotonicClock.millis() - jobsTopic.age().toMillis() + DURATION_MILLIS;
  }
}
