package io.dragonflyturn.internal.membership;

import java.time.Duration;

/**
 * The intervals and timeouts of heartbeats and leader election.
 *
 * @param heartbeatInterval the interval between heartbeats to peers
 * @param heartbeatTimeout how long a peer is considered live after its last heartbeat
 * @param leadershipRenewal the interval at which the leader renews its lease in the log
 * @param leadershipLease the time after the last renewal at which another replica may claim
 *     leadership
 * @param claimStagger the delay between the claims of replicas with consecutive ranks
 * @param freshnessBound the maximum age of its view of the log at which a replica may act as leader
 */
public record MembershipSettings(
    Duration heartbeatInterval,
    Duration heartbeatTimeout,
    Duration leadershipRenewal,
    Duration leadershipLease,
    Duration claimStagger,
    Duration freshnessBound) {
  /** The default values. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofMillis(1_000),
          Duration.ofMillis(3_500),
          Duration.ofMillis(500),
          Duration.ofMillis(1_600),
          Duration.ofMillis(150),
          Duration.ofMillis(2_000));
}
