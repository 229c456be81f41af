package io.dragonflyturn.internal.log;

import static io.dragonflyturn.internal.log.ReplicaFixture.TIMEOUT;
import static io.dragonflyturn.internal.log.ReplicaFixture.await;
import static io.dragonflyturn.internal.log.ReplicaFixture.awaitUntil;
import static io.dragonflyturn.internal.log.ReplicaFixture.claim;
import static io.dragonflyturn.internal.log.ReplicaFixture.configuration;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicaSnapshotTest {
  private static final int SMALL_CHUNK_BYTES = 200;
  private static final long SNAPSHOT_INTERVAL_BATCHES = 5;
  private static final long NEVER_BATCHES = Long.MAX_VALUE;

  private final ReplicaFixture fixture = new ReplicaFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void should_restore_an_equal_state_after_older_records_have_expired() throws Exception {
    ReplicatedState existing = start("old", SNAPSHOT_INTERVAL_BATCHES);
    await(existing.propose(configuration(0, "north"), 0));
    claimKeys(existing, 10);
    long snapshotOffset = awaitSnapshot();
    fixture.log.expire(PlatformLog.CONTROL_STREAM, snapshotOffset + 1);

    ReplicatedState started = start("fresh", NEVER_BATCHES);
    awaitUntil(() -> started.hasCaughtUp() && started.appliedOffset() == existing.appliedOffset());

    assertThat(started.read(ReplicaSnapshotTest::encode))
        .isEqualTo(existing.read(ReplicaSnapshotTest::encode));
    assertThat(await(started.propose(claim("key0"), 0)).code()).isEqualTo(ResultCode.DUPLICATE);
    assertThat(started.read(ControlState::configurationVersion)).isEqualTo(1);
  }

  @Test
  void should_not_read_records_covered_by_a_snapshot_at_startup() throws Exception {
    ReplicatedState existing = start("old", SNAPSHOT_INTERVAL_BATCHES);
    claimKeys(existing, 10);
    long snapshotOffset = awaitSnapshot();

    FirstReadOffsetLog replicaLog = new FirstReadOffsetLog(fixture.log);
    ReplicatedState started =
        fixture.start(
            ReplicaFixture.settings("fresh", snapshotsEvery(NEVER_BATCHES)),
            replicaLog,
            PeerLog.NONE);
    awaitUntil(() -> started.hasCaughtUp() && started.appliedOffset() == existing.appliedOffset());

    assertThat(replicaLog.firstReadOffset()).isGreaterThan(snapshotOffset);
    assertThat(started.read(ReplicaSnapshotTest::encode))
        .isEqualTo(existing.read(ReplicaSnapshotTest::encode));
  }

  @Test
  void should_not_catch_up_if_records_have_expired_without_a_snapshot() throws Exception {
    ReplicatedState existing = start("old", NEVER_BATCHES);
    await(existing.propose(configuration(0, "north"), 0));
    claimKeys(existing, 3);
    fixture.log.expire(PlatformLog.CONTROL_STREAM, 2);

    ReplicatedState started = start("fresh", NEVER_BATCHES);

    assertThat(started.awaitOffset(0, Duration.ofMillis(300))).isFalse();
    assertThat(started.hasCaughtUp()).isFalse();
  }

  @Test
  void should_restore_a_snapshot_if_disconnected_for_longer_than_the_retention() throws Exception {
    DisconnectableLog replicaLog = new DisconnectableLog(fixture.log);
    ReplicatedState lagging =
        fixture.start(
            ReplicaFixture.settings("late", snapshotsEvery(NEVER_BATCHES)),
            replicaLog,
            PeerLog.NONE);
    awaitUntil(lagging::hasCaughtUp);
    replicaLog.setDisconnected(true);
    ReplicatedState busy = start("busy", SNAPSHOT_INTERVAL_BATCHES);
    claimKeys(busy, 10);
    fixture.log.expire(PlatformLog.CONTROL_STREAM, awaitSnapshot() + 1);
    replicaLog.setDisconnected(false);

    assertThat(lagging.awaitOffset(busy.appliedOffset(), TIMEOUT)).isTrue();
    awaitUntil(() -> lagging.appliedOffset() == busy.appliedOffset());
    assertThat(lagging.read(ReplicaSnapshotTest::encode))
        .isEqualTo(busy.read(ReplicaSnapshotTest::encode));
  }

  @Test
  void should_write_each_snapshot_once_if_it_is_due_on_two_replicas() throws Exception {
    ReplicatedState one = start("one", SNAPSHOT_INTERVAL_BATCHES);
    ReplicatedState two = start("two", SNAPSHOT_INTERVAL_BATCHES);
    for (int round = 0; round < 4; round++) {
      claimKeys(one, 6);
      claimKeys(two, 6);
    }
    awaitSnapshot();
    close();

    List<Long> snapshotOffsets = committedOffsets();
    assertThat(snapshotOffsets).isNotEmpty().doesNotHaveDuplicates();
  }

  private ReplicatedState start(String writer, long snapshotIntervalBatches) {
    return fixture.start(
        ReplicaFixture.settings(writer, snapshotsEvery(snapshotIntervalBatches)),
        fixture.log,
        PeerLog.NONE);
  }

  private static SnapshotSettings snapshotsEvery(long batches) {
    return new SnapshotSettings(
        Duration.ofHours(1_000_000), batches, Duration.ofMillis(20), SMALL_CHUNK_BYTES, 1);
  }

  private static byte[] encode(ControlState state) {
    return state.snapshot().encode();
  }

  private static void claimKeys(ReplicatedState replica, int count) throws Exception {
    for (int index = 0; index < count; index++) {
      await(replica.propose(claim("key" + index), 0));
    }
  }

  private long awaitSnapshot() throws InterruptedException {
    awaitUntil(() -> newest().isPresent());
    return newest().orElseThrow().offset();
  }

  private Optional<StateSnapshot> newest() {
    return fixture.snapshotStore(SMALL_CHUNK_BYTES).newest();
  }

  private List<Long> committedOffsets() {
    LogSlice slice = fixture.log.read(PlatformLog.SNAPSHOT_STREAM, 0, Duration.ZERO);
    return slice.batches().stream()
        .map(batch -> MessagePackCodec.decode(batch.content(), SnapshotEntry.class))
        .filter(SnapshotEntry.Commit.class::isInstance)
        .map(entry -> ((SnapshotEntry.Commit) entry).offset())
        .toList();
  }
}
