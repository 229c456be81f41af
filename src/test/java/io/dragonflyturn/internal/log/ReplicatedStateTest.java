package io.dragonflyturn.internal.log;

import static io.dragonflyturn.internal.log.ReplicaFixture.TIMEOUT;
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
    assertThat(two.awaitOffset(outcome.offset(), TIMEOUT)).isTrue();
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
  void should_batch_proposals_into_few_appends() throws Exception {
    ReplicatedState replica = fixture.start("one");
    List<CompletableFuture<ProposalOutcome>> futures = new ArrayList<>();
    for (int index = 0; index < 500; index++) {
      futures.add(replica.propose(claim("key" + index), 0));
    }
    for (CompletableFuture<ProposalOutcome> each : futures) {
      assertThat(await(each).code()).isEqualTo(ResultCode.OK);
    }
    assertThat(fixture.log.appendCount()).isLessThan(100);
  }

  @Test
  void should_limit_the_append_rate_after_the_burst() throws Exception {
    ReplicaSettings settings = ReplicaFixture.settings("one");
    ReplicatedState replica = fixture.start("one");
    int delayedAppends = 40;
    long startNanoseconds = System.nanoTime();
    for (int index = 0; index < settings.appendBurst() + delayedAppends; index++) {
      await(replica.propose(claim("key" + index), 0));
    }

    assertThat(Duration.ofNanos(System.nanoTime() - startNanoseconds))
        .isGreaterThan(
            Duration.ofSeconds(delayedAppends - 1).dividedBy(settings.appendsPerSecond()));
  }

  @Test
  void should_apply_a_proposal_once_if_the_append_answer_is_lost() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.ANSWER_LOST);

    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_retry_an_append_whose_request_is_lost() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.REQUEST_LOST);

    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_not_apply_a_delayed_append_after_a_retry() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.DELAYED);

    ProposalOutcome outcome = await(replica.propose(configuration(0, "north"), 0));
    fixture.log.deliverDelayed();
    ProposalOutcome after = await(replica.propose(configuration(1, "south"), 0));

    assertThat(outcome.code()).isEqualTo(ResultCode.OK);
    assertThat(after.version()).isEqualTo(2);
  }

  @Test
  void should_apply_a_proposal_once_if_the_log_appends_it_twice() throws Exception {
    ReplicatedState replica = fixture.start("one");
    fixture.log.failNextAppends(AppendFault.DUPLICATED);

    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.DUPLICATE);
  }

  @Test
  void should_split_a_batch_that_is_too_large_for_one_append() throws Exception {
    ReplicatedState replica = fixture.start("one");
    String largeKey = "x".repeat(ReplicaFixture.settings("one").maxBatchBytes() / 3);
    List<CompletableFuture<ProposalOutcome>> futures = new ArrayList<>();
    fixture.log.setAppendDelay(Duration.ofMillis(20));
    for (int index = 0; index < 20; index++) {
      futures.add(replica.propose(claim(index + largeKey), 0));
    }
    for (CompletableFuture<ProposalOutcome> each : futures) {
      assertThat(await(each).code()).isEqualTo(ResultCode.OK);
    }
    assertThat(fixture.log.largestBatchBytes())
        .isLessThanOrEqualTo(ReplicaFixture.settings("one").maxBatchBytes());
  }

  @Test
  void should_continue_after_a_listener_fails() throws Exception {
    ReplicatedState replica = fixture.start("one");
    replica.addListener(
        (envelope, outcome) -> {
          throw new IllegalStateException("listener");
        });

    assertThat(await(replica.propose(claim("one"), 0)).code()).isEqualTo(ResultCode.OK);
    assertThat(await(replica.propose(claim("two"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_catch_up_at_startup_without_waiting_for_new_batches() throws Exception {
    Duration readWait = Duration.ofMinutes(1);
    ReplicaSettings settings = ReplicaFixture.settings("one", SnapshotSettings.of(1), readWait);
    ReplicatedState replica = fixture.start(settings, fixture.log, PeerLog.NONE);

    ReplicaFixture.awaitUntil(replica::hasCaughtUp);
  }
}
