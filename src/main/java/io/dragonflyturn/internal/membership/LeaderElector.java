package io.dragonflyturn.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Claims, renews, and releases the leadership lease. Thread-safe.
 *
 * <p>Correctness does not depend on the lease, which only avoids useless proposals: records are
 * fenced by their term when they are applied, so a deposed leader that does not yet know that it
 * was replaced cannot change the state.
 */
public final class LeaderElector {
  private final String incarnation;
  private final LeadershipLog log;
  private final PeerTable peers;
  private final MembershipSettings settings;
  private final InstantSource clock;
  private Instant lastRenewal;
  private Instant lastProposal = Instant.MIN;
  private boolean released;

  /**
   * Creates an elector that has not seen a leader yet.
   *
   * @param incarnation the incarnation of this replica
   * @param log reads and proposes leadership
   * @param peers the table of live peers, which determines the order of claims
   * @param settings the lease and heartbeat durations
   * @param clock a monotonic clock
   */
  public LeaderElector(
      String incarnation,
      LeadershipLog log,
      PeerTable peers,
      MembershipSettings settings,
      InstantSource clock) {
    this.incarnation = incarnation;
    this.log = log;
    this.peers = peers;
    this.settings = settings;
    this.clock = clock;
    this.lastRenewal = clock.instant();
  }

  /** Records that an accepted claim or renewal was applied. */
  public synchronized void recordRenewal() {
    lastRenewal = clock.instant();
  }

  /** Records that an accepted release was applied, so that a claim may follow immediately. */
  public synchronized void recordRelease() {
    lastRenewal = clock.instant().minus(settings.leadershipLease());
  }

  /** Returns the incarnation of this replica. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns whether this replica is the leader and its view is within the freshness bound. */
  public boolean leads() {
    return isLeader() && isFresh();
  }

  /** Renews or claims leadership if due. Must be called several times per second. */
  public synchronized void tick() {
    if (released) {
      return;
    }
    if (!isFresh()) {
      // Renewals cannot be read now, so their absence does not mean that the lease has expired.
      lastRenewal = clock.instant();
      return;
    }
    if (isLeader()) {
      renewIfDue();
    } else {
      claimIfDue();
    }
  }

  /** Releases leadership before a planned stop, and disables further claims of this replica. */
  public synchronized void release() {
    released = true;
    if (isLeader()) {
      log.release(incarnation, log.term());
    }
  }

  private void renewIfDue() {
    if (hasElapsedSinceLastProposal(settings.leadershipRenewal())) {
      lastProposal = clock.instant();
      log.renew(incarnation, log.term());
    }
  }

  private void claimIfDue() {
    Duration stagger = settings.claimStagger().multipliedBy(peers.rankOf(incarnation));
    Instant claimTime = leaseExpiry().plus(stagger);
    if (!clock.instant().isBefore(claimTime)
        && hasElapsedSinceLastProposal(settings.leadershipRenewal())) {
      lastProposal = clock.instant();
      log.claim(incarnation, log.term());
    }
  }

  /**
   * Returns when the lease expires: at the end of the leader process if it ended after its last
   * renewal, otherwise one lease duration after that renewal.
   */
  private Instant leaseExpiry() {
    return peers
        .endedAt(log.leader())
        .filter(endedAt -> endedAt.isAfter(lastRenewal))
        .orElseGet(() -> lastRenewal.plus(settings.leadershipLease()));
  }

  private boolean hasElapsedSinceLastProposal(Duration interval) {
    return lastProposal.equals(Instant.MIN)
        || !clock.instant().isBefore(lastProposal.plus(interval));
  }

  /**
   * Returns whether this replica is the leader according to its view, even if the view is stale.
   */
  private boolean isLeader() {
    return log.leader().equals(incarnation);
  }

  private boolean isFresh() {
    return log.logAge().compareTo(settings.freshnessBound()) <= 0;
  }
}
