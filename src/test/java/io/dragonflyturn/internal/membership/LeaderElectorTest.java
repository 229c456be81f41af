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
  private final FakeLog log = new FakeLog();
  private final PeerTable peers = new PeerTable(2, SETTINGS.heartbeatTimeout(), () -> now);
  private final LeaderElector keeper =
      new LeaderElector("b", log, peers, SETTINGS, () -> now);

  @Test
  void should_claim_after_the_lease_without_a_renewal() {
    advance(SETTINGS.leadershipLease());

    assertThat(log.proposals).containsExactly("claim b 0");
  }

  @Test
  void should_not_claim_while_the_leader_renews() {
    advance(SETTINGS.leadershipLease().minusMillis(1));
    keeper.recordRenewal();
    advance(SETTINGS.leadershipLease().minusMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_claim_before_the_end_of_the_lease_where_the_leader_has_ended() {
    log.leader = "c";
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    advance(Duration.ofMillis(1));
    peers.recordConnectionRefused("127.0.0.1:3");
    keeper.tick();

    assertThat(log.proposals).containsExactly("claim b 0");
  }

  @Test
  void should_claim_again_soon_where_another_replica_won_the_race_and_has_ended() {
    advance(SETTINGS.leadershipLease());
    log.leader = "c";
    log.term = 1;
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    keeper.recordRenewal();
    advance(SETTINGS.leadershipRenewal());
    peers.recordConnectionRefused("127.0.0.1:3");
    keeper.tick();

    assertThat(log.proposals).containsExactly("claim b 0", "claim b 1");
  }

  @Test
  void should_not_claim_where_the_leader_renews_although_its_address_refused() {
    log.leader = "c";
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    advance(Duration.ofMillis(1));
    peers.recordConnectionRefused("127.0.0.1:3");
    now = now.plusMillis(1);
    keeper.recordRenewal();
    advance(SETTINGS.leadershipLease().minusMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_not_take_a_successor_at_the_address_for_ended() {
    log.leader = "d";
    peers.record(new PeerStatus("c", "127.0.0.1:3", 0, true, List.of()));
    peers.recordConnectionRefused("127.0.0.1:3");
    peers.record(new PeerStatus("d", "127.0.0.1:3", 0, true, List.of()));
    advance(Duration.ofMillis(1));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_let_a_replica_of_lower_rank_claim_first() {
    peers.record(new PeerStatus("a", "127.0.0.1:1", 0, true, List.of()));
    advance(SETTINGS.leadershipLease());

    assertThat(log.proposals).isEmpty();
    advance(SETTINGS.claimStagger());
    assertThat(log.proposals).containsExactly("claim b 0");
  }

  @Test
  void should_not_claim_while_the_log_is_out() {
    log.age = SETTINGS.freshnessBound().plusMillis(1);
    advance(SETTINGS.leadershipLease().multipliedBy(5));

    assertThat(log.proposals).isEmpty();
  }

  @Test
  void should_wait_a_whole_lease_after_the_log_is_back() {
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
    keeper.tick();
    advance(SETTINGS.leadershipRenewal().minusMillis(1));
    assertThat(log.proposals).containsExactly("renew b 3");

    advance(Duration.ofMillis(1));
    assertThat(log.proposals).containsExactly("renew b 3", "renew b 3");
  }

  @Test
  void should_not_lead_on_stale_news() {
    log.leader = "b";
    log.age = SETTINGS.freshnessBound().plusMillis(1);

    assertThat(keeper.leads()).isFalse();
  }

  @Test
  void should_claim_no_more_after_release() {
    log.leader = "b";
    keeper.release();
    log.leader = "";
    advance(SETTINGS.leadershipLease().multipliedBy(5));

    assertThat(log.proposals).containsExactly("release b 0");
  }

  @Test
  void should_claim_at_once_when_the_leader_steps_down() {
    keeper.recordRelease();
    keeper.tick();

    assertThat(log.proposals).containsExactly("claim b 0");
  }

  private void advance(Duration time) {
    now = now.plus(time);
    keeper.tick();
  }

  private static final class FakeLog implements LeadershipLog {
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
    public void renew(String renewer, long renewedTerm) {
      proposals.add("renew " + renewer + " " + renewedTerm);
    }

    @Override
    public void release(String releaser, long releasedTerm) {
      proposals.add("release " + releaser + " " + releasedTerm);
    }
  }
}
