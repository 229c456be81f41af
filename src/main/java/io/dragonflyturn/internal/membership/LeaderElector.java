package io.dragonflyturn.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Claims, renews, and releases the leadership lease.
 *
 * <p>The lease only avoids wasted proposals: records are fenced by their term when they are
 * applied, so a leader that does not know that it was replaced changes nothing.
 */
public final class LeaderElector {
  private final String incarnation;
  private final LeadershipLog log;
  private final PeerTable peers;
  private final MembershipSettings settings;
  private final InstantSource clock;
  private Instant lastSignal;
  private Instant lastProposal = Instant.MIN;
  private boolean released;

  /** Creates a keeper that has seen no leader yet. */
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
    this.lastSignal = clock.instant();
  }

  /** Notes that an accepted claim or renewal was applied. */
  public synchronized void recordRenewal() {
    lastSignal = clock.instant();
  }

  /** Notes that an accepted release was applied: a claim may follow at once. */
  public synchronized void recordRelease() {
    lastSignal = clock.instant().minus(settings.leadershipLease());
  }

  /** Returns whether this replica leads and has heard from the log within the freshness bound. */
  public boolean leads() {
    return isLeader() && isFresh();
  }

  /** Renews or claims where it is time to; to be called several times a second. */
  public synchronized void tick() {
    if (released) {
      return;
    }
    if (!isFresh()) {
      // Renewals cannot be seen now, so their absence says nothing about the leader.
      lastSignal = clock.instant();
      return;
    }
    if (isLeader()) {
      renewIfDue();
    } else {
      claimIfDue();
    }
  }

  /** Steps down for a planned stop; this replica claims no more. */
  public synchronized void release() {
    released = true;
    if (isLeader()) {
      log.release(incarnation, log.term());
    }
  }

  private void renewIfDue() {
    if (elapsedSinceProposal(settings.leadershipRenewal())) {
      lastProposal = clock.instant();
      log.renew(incarnation, log.term());
    }
  }

  private void claimIfDue() {
    Duration stagger = settings.claimStagger().multipliedBy(peers.rankOf(incarnation));
    Instant due = leaseEnd().plus(stagger);
    if (!clock.instant().isBefore(due) && elapsedSinceProposal(settings.leadershipRenewal())) {
      lastProposal = clock.instant();
      log.claim(incarnation, log.term());
    }
  }

  /** The lease of a leader whose process has ended since its last renewal counts as over. */
  private Instant leaseEnd() {
    return peers
        .endedSince(log.leader())
        .filter(since -> since.isAfter(lastSignal))
        .orElseGet(() -> lastSignal.plus(settings.leadershipLease()));
  }

  private boolean elapsedSinceProposal(Duration interval) {
    return lastProposal.equals(Instant.MIN)
        || !clock.instant().isBefore(lastProposal.plus(interval));
  }

  /** Returns whether this replica leads, as far as it knows, however old its news is. */
  public boolean isLeader() {
    return log.leader().equals(incarnation);
  }

  private boolean isFresh() {
    return log.logAge().compareTo(settings.freshnessBound()) <= 0;
  }
}
