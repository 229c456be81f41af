package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.StoreStatus;
import java.time.InstantSource;

/**
 * Bounds the leases that a leader grants to workers by what it last read from the store.
 *
 * <p>Only the store tells whether a term is still in force. A leader knows that its term was, or
 * had not been superseded, when it sent its proposal, and when it sent a read that reached the end
 * of the jobs topic without finding a later term. It grants no lease that ends later than {@link
 * #DURATION_MILLIS} after that. A successor is elected later, so the leases of all earlier leaders
 * have ended {@link #DURATION_MILLIS} after its own election, also on workers that it cannot reach.
 */
final class LeadershipLease {
  /**
   * How long leases may outlast the moment at which the term was last known to be in force. Runs
   * survive an outage of the store that is a few seconds shorter, and a successor waits for as long
   * before it restarts the runs of workers that it cannot reach.
   */
  private static final long DURATION_MILLIS = 12_000;

  private final StoreStatus jobsTopic;
  private final InstantSource monotonicClock;
  private final long leaseMillis;
  private final long proposedMillis;

  /**
   * Creates the lease of a term.
   *
   * @param jobsTopic how old this instance's copy of the jobs topic is
   * @param monotonicClock a clock that never goes back
   * @param leaseMillis the duration of a worker's lease while the store is reachable
   * @param proposedMillis when the proposal of the term was sent
   */
  LeadershipLease(
      StoreStatus jobsTopic, InstantSource monotonicClock, long leaseMillis, long proposedMillis) {
    this.jobsTopic = jobsTopic;
    this.monotonicClock = monotonicClock;
    this.leaseMillis = leaseMillis;
    this.proposedMillis = proposedMillis;
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
    long lastReadMillis = monotonicClock.millis() - jobsTopic.age().toMillis();
    return Math.max(lastReadMillis, proposedMillis) + DURATION_MILLIS;
  }
}
