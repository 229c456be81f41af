package io.dragonflyturn.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.PeerStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaderElectorTest {
  private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;

  private Instant now = Instant.EPOCH;
  private final FakeLeadershipLog log = new FakeLeadershipLog();
  private final PeerTable peers = new PeerTable(2, SETTINGS.heartbeatTimeout(), () -> now);
  private final LeaderElector elector = new LeaderElector("b", log, peers, SETTINGS, () -> now);

  @Test
  void should_claim_when_the_lease_expires_without_a_renewal() {
    advance(SETTINGS.leadershipLease());

    assertThat(log.proposals).containsExactly("claim b 0");
  }

  @Test
  void should_not_claim_while_the_leader_renews() {
    advance(SETTINGS.leadershipLease().minusMillis(1));
    elector.recordRenewal();
    advance(SETTINGS.leadershipLease().minusMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_claim_before_the_lease_expires_if_the_leader_process_has_ended() {
    log.leader = "c";
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    advance(Duration.ofMillis(1));
    peers.recordConnectionRefused("127.0.0.1:3");
    elector.tick();

    assertThat(log.proposals).containsExactly("claim b 0");
  }

  @Test
  void should_claim_again_if_the_winner_of_the_election_has_ended() {
    advance(SETTINGS.leadershipLease());
    log.leader = "c";
    log.term = 1;
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    elector.recordRenewal();
    advance(SETTINGS.leadershipRenewal());
    peers.recordConnectionRefused("127.0.0.1:3");
    elector.tick();

    assertThat(log.proposals).containsExactly("claim b 0", "claim b 1");
  }

  @Test
  void should_not_claim_if_the_leader_renews_after_refusing_a_connection() {
    log.leader = "c";
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    advance(Duration.ofMillis(1));
    peers.recordConnectionRefused("127.0.0.1:3");
    now = now.plusMillis(1);
    elector.recordRenewal();
    advance(SETTINGS.leadershipLease().minusMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_not_consider_a_new_incarnation_at_the_same_address_ended() {
    log.leader = "d";
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    peers.recordConnectionRefused("127.0.0.1:3");
    peers.record(new PeerStatus("d", "127.0.0.1:3", 0, true, List.of()));
    advance(Duration.ofMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_delay_its_claim_after_replicas_of_lower_rank() {
    peers.record(new PeerStatus("a", "127.0.0.1:1", 0, true, List.of()));
    advance(SETTINGS.leadershipLease());

    assertThat(log.proposals).isEmpty();
    advance(SETTINGS.claimStagger());
    assertThat(log.proposals).containsExactly("claim b 0");
  }

  @Test
  void should_not_claim_during_a_log_outage() {
    log.age = SETTINGS.freshnessBound().plusMillis(1);
    advance(SETTINGS.leadershipLease().multipliedBy(5));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_wait_for_a_full_lease_after_a_log_outage() {
    log.age = SETTINGS.freshnessBound().plusMillis(1);
    advance(SETTINGS.leadershipLease().multipliedBy(5));
    log.age = Duration.ZERO;
    advance(SETTINGS.leadershipLease().minusMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_renew_at_the_renewal_interval() {
    log.leader = "b";
    log.term = 3;
    elector.tick();
    advance(SETTINGS.leadershipRenewal().minusMillis(1));
    assertThat(log.proposals).containsExactly("renew b 3");

    advance(Duration.ofMillis(1));
    assertThat(log.proposals).containsExactly("renew b 3", "renew b 3");
  }

  @Test
  void should_not_lead_with_a_stale_view() {
    log.leader = "b";
    log.age = SETTINGS.freshnessBound().plusMillis(1);

    assertThat(elector.leads()).isFalse();
  }

  @Test
  void should_not_claim_after_release() {
    log.leader = "b";
    elector.release();
    log.leader = "";
    advance(SETTINGS.leadershipLease().multipliedBy(5));

    assertThat(log.proposals).containsExactly("release b 0");
  }

  @Test
  void should_claim_immediately_when_the_leader_releases_leadership() {
    elector.recordRelease();
    elector.tick();

    assertThat(log.proposals).containsExactly("claim b 0");
  }

  private void advance(Duration duration) {
    now = now.plus(duration);
    elector.tick();
  }

  private static final class FakeLeadershipLog implements LeadershipLog {
    private final List<String> proposals = new ArrayList<>();
    private String leader = "";
    private long term;
    private Duration age = Duration.ZERO;

    @Override
    public long term() {
      return term;
    }

    @Override
    public String leader() {
      return leader;
    }

    @Override
    public Duration logAge() {
      return age;
    }

    @Override
    public void claim(String candidate, long expectedTerm) {
      proposals.add("claim " + candidate + " " + expectedTerm);
    }

    @Override
    public void renew(String leaderName, long leaderTerm) {
      proposals.add("renew " + leaderName + " " + leaderTerm);
    }

    @Override
    public void release(String leaderName, long leaderTerm) {
      proposals.add("release " + leaderName + " " + leaderTerm);
    }
  }
}
