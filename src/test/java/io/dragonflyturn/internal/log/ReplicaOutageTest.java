package io.dragonflyturn.internal.log;

import static io.dragonflyturn.internal.log.ReplicaFixture.await;
import static io.dragonflyturn.internal.log.ReplicaFixture.awaitUntil;
import static io.dragonflyturn.internal.log.ReplicaFixture.claim;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.log.InMemoryPlatformLog.AppendFault;
import io.dragonflyturn.internal.membership.MembershipSettings;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicaOutageTest {
  private static final Duration SHORT_DURATION = Duration.ofMillis(300);
  private static final Duration HANG_DURATION = Duration.ofHours(1);
  private static final int SMALL_QUEUE_CAPACITY = 3;

  private final ReplicaFixture fixture = new ReplicaFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void should_read_through_a_peer_if_only_this_replica_is_disconnected() throws Exception {
    DisconnectableLog replicaLog = new DisconnectableLog(fixture.log);
    ReplicatedState disconnected =
        fixture.start(ReplicaFixture.settings("cut"), replicaLog, fixture.log::read);
    final ReplicatedState other = fixture.start("other");
    awaitUntil(disconnected::hasCaughtUp);
    replicaLog.setFailureDelay(SHORT_DURATION);
    replicaLog.setDisconnected(true);
    awaitUntil(disconnected::readsThroughPeer);

    ProposalOutcome outcome = await(other.propose(claim("key"), 0));

    assertThat(disconnected.awaitOffset(outcome.offset(), SHORT_DURATION)).isTrue();
    assertThat(disconnected.logAge()).isLessThan(SHORT_DURATION);
    replicaLog.setDisconnected(false);
    awaitUntil(() -> !disconnected.readsThroughPeer());
  }

  @Test
  void should_read_through_a_peer_before_its_view_is_stale_if_the_log_hangs() throws Exception {
    DisconnectableLog replicaLog = new DisconnectableLog(fixture.log);
    ReplicaSettings defaults = ReplicaSettings.of("cut", "region");
    ReplicatedState disconnected = fixture.start(defaults, replicaLog, fixture.log::read);
    awaitUntil(disconnected::hasCaughtUp);
    replicaLog.setFailureDelay(HANG_DURATION);
    replicaLog.setDisconnected(true);

    AtomicReference<Duration> maxAge = new AtomicReference<>(Duration.ZERO);
    awaitUntil(
        () -> {
          maxAge.accumulateAndGet(disconnected.logAge(), ReplicaOutageTest::max);
          return disconnected.readsThroughPeer();
        });

    assertThat(maxAge.get()).isLessThan(MembershipSettings.DEFAULT.freshnessBound());
  }

  @Test
  void should_increase_its_log_age_while_a_read_hangs() throws Exception {
    DisconnectableLog replicaLog = new DisconnectableLog(fixture.log);
    ReplicatedState disconnected =
        fixture.start(ReplicaFixture.settings("cut"), replicaLog, PeerLog.NONE);
    awaitUntil(disconnected::hasCaughtUp);
    replicaLog.setFailureDelay(HANG_DURATION);
    replicaLog.setDisconnected(true);

    awaitUntil(
        () -> disconnected.logAge().compareTo(MembershipSettings.DEFAULT.freshnessBound()) > 0);
  }

  private static Duration max(Duration one, Duration two) {
    return one.compareTo(two) > 0 ? one : two;
  }

  @Test
  void should_have_a_stale_view_during_an_outage_and_a_fresh_one_after_it() throws Exception {
    ReplicatedState replica = fixture.start("one");
    awaitUntil(replica::hasCaughtUp);
    fixture.log.stop(true);

    awaitUntil(() -> replica.logAge().compareTo(SHORT_DURATION) > 0);
    fixture.log.stop(false);

    awaitUntil(() -> replica.logAge().compareTo(SHORT_DURATION) < 0);
  }

  @Test
  void should_reject_a_proposal_that_was_not_appended_in_time() throws Exception {
    ReplicatedState replica =
        fixture.start(settingsWithShortTimeout(1000), fixture.log, PeerLog.NONE);
    awaitUntil(replica::hasCaughtUp);
    fixture.log.stop(true);

    CompletableFuture<ProposalOutcome> rejected = replica.propose(claim("key"), 0);

    assertCode(rejected, ResultCode.LOG_UNAVAILABLE);
    fixture.log.stop(false);
    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_reject_a_proposal_if_the_queue_is_full() throws Exception {
    ReplicatedState replica =
        fixture.start(settingsWithShortTimeout(SMALL_QUEUE_CAPACITY), fixture.log, PeerLog.NONE);
    awaitUntil(replica::hasCaughtUp);
    fixture.log.stop(true);
    List<CompletableFuture<ProposalOutcome>> futures = new ArrayList<>();
    for (int index = 0; index < 100; index++) {
      futures.add(replica.propose(claim("key" + index), 0));
    }

    assertCode(futures.getLast(), ResultCode.QUEUE_FULL);
  }

  @Test
  void should_not_complete_a_proposal_that_may_have_been_appended() throws Exception {
    ReplicatedState replica =
        fixture.start(settingsWithShortTimeout(1000), fixture.log, PeerLog.NONE);
    awaitUntil(replica::hasCaughtUp);
    AppendFault[] faults = new AppendFault[1000];
    Arrays.fill(faults, AppendFault.REQUEST_LOST);
    faults[0] = AppendFault.DELAYED;
    fixture.log.failNextAppends(faults);
    final CompletableFuture<ProposalOutcome> future = replica.propose(claim("key"), 0);
    awaitUntil(() -> fixture.log.appendCount() > 10);
    awaitProposalTimeout();

    assertThat(future).isNotDone();
    fixture.log.deliverDelayed();
    fixture.log.clearFaults();
    assertThat(await(future).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_fail_with_unknown_outcome_if_closed_before_reading_the_outcome() throws Exception {
    DisconnectableLog replicaLog = new DisconnectableLog(fixture.log);
    replicaLog.setDisconnected(true);
    ReplicatedState replica =
        fixture.start(ReplicaFixture.settings("one"), replicaLog, PeerLog.NONE);
    CompletableFuture<ProposalOutcome> future = replica.propose(claim("key"), 0);
    replica.close();

    assertCode(future, ResultCode.OUTCOME_UNKNOWN);
  }

  /** Waits for longer than the proposal timeout of {@link #settingsWithShortTimeout}. */
  private static void awaitProposalTimeout() throws InterruptedException {
    long endNanoseconds = System.nanoTime() + SHORT_DURATION.multipliedBy(2).toNanos();
    awaitUntil(() -> System.nanoTime() - endNanoseconds > 0);
  }

  private static ReplicaSettings settingsWithShortTimeout(int queueCapacity) {
    ReplicaSettings defaults = ReplicaFixture.settings("one");
    return new ReplicaSettings(
        defaults.writer(),
        defaults.region(),
        defaults.readWait(),
        defaults.readInterval(),
        defaults.readTimeout(),
        defaults.appendTimeout(),
        SHORT_DURATION,
        queueCapacity,
        defaults.maxBatchRecords(),
        defaults.maxBatchBytes(),
        defaults.appendsPerSecond(),
        defaults.appendBurst(),
        defaults.retryDelay(),
        defaults.seed(),
        defaults.snapshots());
  }

  private static void assertCode(CompletableFuture<ProposalOutcome> future, ResultCode code) {
    assertThatThrownBy(() -> await(future))
        .isInstanceOf(ExecutionException.class)
        .cause()
        .isInstanceOfSatisfying(
            DragonflyturnException.class, failure -> assertThat(failure.code()).isEqualTo(code));
  }
}
