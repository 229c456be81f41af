package io.dragonflyturn.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.PeerStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerTableTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private Instant now = Instant.EPOCH;
  private final PeerTable peers = new PeerTable(4, TIMEOUT, () -> now);

  @Test
  void should_remove_a_peer_whose_heartbeats_stop() {
    record("a", true);
    now = now.plus(TIMEOUT).plusMillis(1);

    assertThat(peers.live()).isEmpty();
  }

  @Test
  void should_replace_an_old_incarnation_at_the_same_address() {
    peers.record(new PeerStatus("a1", "127.0.0.1:1", 0, true, List.of()));
    peers.record(new PeerStatus("a2", "127.0.0.1:1", 0, true, List.of()));

    assertThat(peers.live()).extracting(PeerStatus::incarnation).containsExactly("a2");
  }

  @Test
  void should_report_an_outage_for_all_if_half_of_the_peers_report_one() {
    record("a", false);
    record("b", false);

    assertThat(peers.isLogOutageForAll()).isTrue();
  }

  @Test
  void should_not_report_an_outage_for_all_if_too_few_peers_are_live() {
    record("a", false);

    assertThat(peers.isLogOutageForAll()).isFalse();
  }

  @Test
  void should_not_report_an_outage_for_all_if_one_peer_reaches_the_log() {
    record("a", false);
    record("b", false);
    record("c", true);

    assertThat(peers.isLogOutageForAll()).isFalse();
  }

  private void record(String incarnation, boolean logReachable) {
    peers.record(
        new PeerStatus(incarnation, "127.0.0.1:" + incarnation, 0, logReachable, List.of()));
  }
}
