package io.dragonflyturn.internal.log;

import static io.dragonflyturn.internal.log.ReplicaFixture.GENEROUS;
import static io.dragonflyturn.internal.log.ReplicaFixture.await;
import static io.dragonflyturn.internal.log.ReplicaFixture.claim;
import static io.dragonflyturn.internal.log.ReplicaFixture.configuration;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.log.InMemoryPlatformLog.AppendFault;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicatedStateTest {
  private final ReplicaFixture fixture = new ReplicaFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void should_apply_a_proposal_on_every_replica() throws Exception {
    ReplicatedState one = fixture.start("one");
    ReplicatedState two = fixture.start("two");

    ProposalOutcome outcome = await(one.propose(configuration(0, "north"), 0));

    assertThat(outcome.version()).isEqualTo(1);
    assertThat(two.awaitOffset(outcome.offset(), GENEROUS)).isTrue();
    assertThat(two.read(ControlState::configurationVersion)).isEqualTo(1);
  }

  @Test
  void should_let_one_of_two_racing_operators_win() throws Exception {
    ReplicatedState one = fixture.start("one");
    ReplicatedState two = fixture.start("two");

    CompletableFuture<ProposalOutcome> first = one.propose(configuration(0, "north"), 0);
    CompletableFuture<ProposalOutcome> second = two.propose(configuration(0, "south"), 0);

    assertThat(List.of(await(first).code(), await(second).code()))
        .containsExactlyInAnyOrder(ResultCode.OK, ResultCode.VERSION_CONFLICT);
  }

  @Test
  void should_gather_proposals_into_few_appends() throws Exception {
    ReplicatedState replica = fixture.start("one");
    List<CompletableFuture<ProposalOutcome>> all = new ArrayList<>();
    for (int index = 0; index < 500; index++) {
      all.add(replica.propose(claim("key" + index), 0));
    }
    for (CompletableFuture<ProposalOutcome> each : all) {
      assertThat(await(each).code()).isEqualTo(ResultCode.OK);
    }
    assertThat(fixture.log.appends()).isLessThan(100);
  }

  @Test
  void should_space_the_appends_that_come_after_the_burst() throws Exception {
    ReplicaSettings settings = ReplicaFixture.settings("one");
    ReplicatedState replica = fixture.start("one");
    int paced = 40;
    long start = System.nanoTime();
    for (int index = 0; index < settings.appendBurst() + paced; index++) {
      await(replica.propose(claim("key" + index), 0));
    }

    assertThat(Duration.ofNanos(System.nanoTime() - start))
        .isGreaterThan(Duration.ofSeconds(paced - 1).dividedBy(settings.appendsPerSecond()));
  }

  @Test
  void should_apply_once_where_the_answer_is_lost_after_the_append() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.ANSWER_LOST);

    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_append_again_where_the_append_was_lost_before_it_came() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.REQUEST_LOST);

    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_not_apply_a_late_append_after_it_was_sent_again() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.HELD);

    ProposalOutcome outcome = await(replica.propose(configuration(0, "north"), 0));
    fixture.log.deliverHeld();
    ProposalOutcome after = await(replica.propose(configuration(1, "south"), 0));

    assertThat(outcome.code()).isEqualTo(ResultCode.OK);
    assertThat(after.version()).isEqualTo(2);
  }

  @Test
  void should_apply_once_where_the_log_appends_twice() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.DOUBLED);

    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.DUPLICATE);
  }

  @Test
  void should_split_a_batch_that_is_too_large_for_one_append() throws Exception {
    ReplicatedState replica = fixture.start("one");
    String large = "x".repeat(ReplicaFixture.settings("one").maxBatchBytes() / 3);
    List<CompletableFuture<ProposalOutcome>> all = new ArrayList<>();
    fixture.log.slow(Duration.ofMillis(20));
    for (int index = 0; index < 20; index++) {
      all.add(replica.propose(claim(index + large), 0));
    }
    for (CompletableFuture<ProposalOutcome> each : all) {
      assertThat(await(each).code()).isEqualTo(ResultCode.OK);
    }
    assertThat(fixture.log.largestAppend())
        .isLessThanOrEqualTo(ReplicaFixture.settings("one").maxBatchBytes());
  }

  @Test
  void should_go_on_where_a_listener_fails() throws Exception {
    ReplicatedState replica = fixture.start("one");
    replica.addListener(
        (envelope, outcome) -> {
          throw new IllegalStateException("listener");
        });

    assertThat(await(replica.propose(claim("one"), 0)).code()).isEqualTo(ResultCode.OK);
    assertThat(await(replica.propose(claim("two"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_be_fresh_at_its_start_without_waiting_for_news() throws Exception {
    Duration wait = Duration.ofMinutes(1);
    ReplicaSettings patient = ReplicaFixture.settings("one", SnapshotSettings.of(1), wait);
    ReplicatedState replica = fixture.start(patient, fixture.log, PeerLog.NONE);

    ReplicaFixture.awaitUntil(replica::hasCaughtUp);
  }
}
