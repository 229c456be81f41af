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
  private static final Duration SHORT = Duration.ofMillis(300);
  private static final Duration FOREVER = Duration.ofHours(1);
  private static final int SMALL_QUEUE = 3;

  private final ReplicaFixture fixture = new ReplicaFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void should_read_through_a_peer_where_only_this_replica_is_cut_off() throws Exception {
    SwitchedLog way = new SwitchedLog(fixture.log);
    ReplicatedState cutOff = fixture.start(ReplicaFixture.settings("cut"), way, fixture.log::read);
    final ReplicatedState other = fixture.start("other");
    awaitUntil(cutOff::hasCaughtUp);
    way.hang(SHORT);
    way.cut(true);
    awaitUntil(cutOff::readsThroughPeer);

    ProposalOutcome outcome = await(other.propose(claim("key"), 0));

    assertThat(cutOff.awaitOffset(outcome.offset(), SHORT)).isTrue();
    assertThat(cutOff.logAge()).isLessThan(SHORT);
    way.cut(false);
    awaitUntil(() -> !cutOff.readsThroughPeer());
  }

  @Test
  void should_read_through_a_peer_before_its_news_is_stale_where_the_log_hangs() throws Exception {
    SwitchedLog way = new SwitchedLog(fixture.log);
    ReplicaSettings usual = ReplicaSettings.of("cut", "region");
    ReplicatedState cutOff = fixture.start(usual, way, fixture.log::read);
    awaitUntil(cutOff::hasCaughtUp);
    way.hang(FOREVER);
    way.cut(true);

    AtomicReference<Duration> oldest = new AtomicReference<>(Duration.ZERO);
    awaitUntil(
        () -> {
          oldest.accumulateAndGet(cutOff.logAge(), ReplicaOutageTest::longer);
          return cutOff.readsThroughPeer();
        });

    assertThat(oldest.get()).isLessThan(MembershipSettings.DEFAULT.freshnessBound());
  }

  @Test
  void should_know_that_its_news_grows_old_while_a_read_hangs() throws Exception {
    SwitchedLog way = new SwitchedLog(fixture.log);
    ReplicatedState cutOff = fixture.start(ReplicaFixture.settings("cut"), way, PeerLog.NONE);
    awaitUntil(cutOff::hasCaughtUp);
    way.hang(FOREVER);
    way.cut(true);

    awaitUntil(() -> cutOff.logAge().compareTo(MembershipSettings.DEFAULT.freshnessBound()) > 0);
  }

  private static Duration longer(Duration one, Duration two) {
    return one.compareTo(two) > 0 ? one : two;
  }

  @Test
  void should_grow_old_while_the_log_is_out_and_be_fresh_after_it() throws Exception {
    ReplicatedState replica = fixture.start("one");
    awaitUntil(replica::hasCaughtUp);
    fixture.log.stop(true);

    awaitUntil(() -> replica.logAge().compareTo(SHORT) > 0);
    fixture.log.stop(false);

    awaitUntil(() -> replica.logAge().compareTo(SHORT) < 0);
  }

  @Test
  void should_refuse_as_not_appended_where_the_log_takes_nothing_in_time() throws Exception {
    ReplicatedState replica = fixture.start(impatient(1000), fixture.log, PeerLog.NONE);
    awaitUntil(replica::hasCaughtUp);
    fixture.log.stop(true);

    CompletableFuture<ProposalOutcome> refused = replica.propose(claim("key"), 0);

    assertCode(refused, ResultCode.LOG_UNAVAILABLE);
    fixture.log.stop(false);
    assertThat(await(replica.propose(claim("key"), 0)).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_refuse_at_once_where_the_queue_is_full() throws Exception {
    ReplicatedState replica = fixture.start(impatient(SMALL_QUEUE), fixture.log, PeerLog.NONE);
    awaitUntil(replica::hasCaughtUp);
    fixture.log.stop(true);
    List<CompletableFuture<ProposalOutcome>> all = new ArrayList<>();
    for (int index = 0; index < 100; index++) {
      all.add(replica.propose(claim("key" + index), 0));
    }

    assertCode(all.getLast(), ResultCode.QUEUE_FULL);
  }

  @Test
  void should_leave_a_proposal_open_while_the_log_may_hold_it() throws Exception {
    ReplicatedState replica = fixture.start(impatient(1000), fixture.log, PeerLog.NONE);
    awaitUntil(replica::hasCaughtUp);
    AppendFault[] faults = new AppendFault[1000];
    Arrays.fill(faults, AppendFault.REQUEST_LOST);
    faults[0] = AppendFault.HELD;
    fixture.log.failNextAppends(faults);
    final CompletableFuture<ProposalOutcome> open = replica.propose(claim("key"), 0);
    awaitUntil(() -> fixture.log.appends() > 10);
    awaitPatience();

    assertThat(open).isNotDone();
    fixture.log.deliverHeld();
    fixture.log.clearFaults();
    assertThat(await(open).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_say_unknown_where_it_closes_before_the_log_shows_the_outcome() throws Exception {
    SwitchedLog way = new SwitchedLog(fixture.log);
    way.cut(true);
    ReplicatedState replica = fixture.start(ReplicaFixture.settings("one"), way, PeerLog.NONE);
    CompletableFuture<ProposalOutcome> open = replica.propose(claim("key"), 0);
    replica.close();

    assertCode(open, ResultCode.OUTCOME_UNKNOWN);
  }

  /** Waits for longer than an impatient proposal would wait to be appended. */
  private static void awaitPatience() throws InterruptedException {
    long end = System.nanoTime() + SHORT.multipliedBy(2).toNanos();
    awaitUntil(() -> System.nanoTime() - end > 0);
  }

  private static ReplicaSettings impatient(int queue) {
    ReplicaSettings usual = ReplicaFixture.settings("one");
    return new ReplicaSettings(
        usual.writer(),
        usual.region(),
        usual.readWait(),
        usual.readInterval(),
        usual.readTimeout(),
        usual.appendTimeout(),
        SHORT,
        queue,
        usual.maxBatchRecords(),
        usual.maxBatchBytes(),
        usual.appendsPerSecond(),
        usual.appendBurst(),
        usual.retryDelay(),
        usual.seed(),
        usual.snapshots());
  }

  private static void assertCode(CompletableFuture<ProposalOutcome> future, ResultCode code) {
    assertThatThrownBy(() -> await(future))
        .isInstanceOf(ExecutionException.class)
        .cause()
        .isInstanceOfSatisfying(
            DragonflyturnException.class, failure -> assertThat(failure.code()).isEqualTo(code));
  }
}
