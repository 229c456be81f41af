package io.dragonflyturn.internal.log;

import static io.dragonflyturn.internal.log.ReplicaFixture.TIMEOUT;
import static io.dragonflyturn.internal.log.ReplicaFixture.await;
import static io.dragonflyturn.internal.log.ReplicaFixture.awaitUntil;
import static io.dragonflyturn.internal.log.ReplicaFixture.claim;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.StateSettings;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicaStateSettingsTest {
  private static final StateSettings DEFAULTS = StateSettings.DEFAULT;
  private static final StateSettings SHORT_RETENTION =
      new StateSettings(
          Duration.ofMinutes(10),
          DEFAULTS.endedJobRetention(),
          DEFAULTS.requestFutureTolerance(),
          DEFAULTS.auditEntries(),
          DEFAULTS.writerWindow());

  private final ReplicaFixture fixture = new ReplicaFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void should_reach_the_same_state_if_the_settings_of_replicas_differ() throws Exception {
    ReplicatedState first = start("first", DEFAULTS);
    await(first.propose(claim("key"), 0));
    ReplicatedState other = start("other", SHORT_RETENTION);

    ProposalOutcome outcome = await(first.propose(claimCreatedOneHourAgo(), 0));

    assertThat(outcome.code()).isEqualTo(ResultCode.OK);
    assertThat(other.awaitOffset(outcome.offset(), TIMEOUT)).isTrue();
    assertThat(other.read(ReplicaStateSettingsTest::encode))
        .isEqualTo(first.read(ReplicaStateSettingsTest::encode));
  }

  @Test
  void should_reject_proposals_if_the_log_has_different_settings() throws Exception {
    ReplicatedState first = start("first", DEFAULTS);
    await(first.propose(claim("key"), 0));
    ReplicatedState other = start("other", SHORT_RETENTION);
    awaitUntil(other::hasCaughtUp);

    CompletableFuture<ProposalOutcome> rejected = other.propose(claim("second"), 0);

    assertThatThrownBy(() -> await(rejected))
        .isInstanceOf(ExecutionException.class)
        .cause()
        .isInstanceOfSatisfying(
            DragonflyturnException.class,
            failure -> {
              assertThat(failure.code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
              assertThat(failure.getMessage()).contains("110").contains("PT10M", "PT2H");
            });
    assertThat(await(first.propose(claim("third"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_use_the_first_settings_in_the_log_if_two_replicas_propose_different_ones()
      throws Exception {
    ReplicatedState one = start("one", DEFAULTS);
    ReplicatedState two = start("two", SHORT_RETENTION);
    one.propose(claim("one"), 0);
    two.propose(claim("two"), 0);
    awaitUntil(() -> one.read(ReplicaStateSettingsTest::isDecided));
    awaitUntil(() -> two.read(ReplicaStateSettingsTest::isDecided));

    assertThat(one.read(ControlState::decidedSettings))
        .isEqualTo(two.read(ControlState::decidedSettings));
  }

  private ReplicatedState start(String writer, StateSettings settings) {
    return fixture.start(ReplicaFixture.settings(writer), fixture.log, PeerLog.NONE, settings);
  }

  private static ControlRecord claimCreatedOneHourAgo() {
    long createdAtMillis = System.currentTimeMillis() - Duration.ofHours(1).toMillis();
    return new ControlRecord.RequestClaimed("old", "customer", "entry", createdAtMillis);
  }

  private static boolean isDecided(ControlState state) {
    return state.decidedSettings() != null;
  }

  private static byte[] encode(ControlState state) {
    return state.snapshot().encode();
  }
}
