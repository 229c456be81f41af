package io.dragonflyturn.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.log.InMemoryPlatformLog.AppendFault;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.internal.state.StateSnapshot;
import org.junit.jupiter.api.Test;

class SnapshotStoreTest {
  private static final int SMALL_CHUNK_BYTES = 100;

  private final ReplicaFixture fixture = new ReplicaFixture();
  private final SnapshotStore store = fixture.snapshotStore(SMALL_CHUNK_BYTES);

  @Test
  void should_find_no_snapshot_in_an_empty_stream() {
    assertThat(store.newest()).isEmpty();
  }

  @Test
  void should_find_the_newest_of_several_snapshots() {
    store.write("one", snapshotAt(1));
    store.write("two", snapshotAt(2));

    assertThat(store.newest()).map(StateSnapshot::offset).contains(2L);
  }

  @Test
  void should_ignore_a_snapshot_without_a_commit() {
    store.write("one", snapshotAt(1));
    store.write("two", snapshotAt(2));
    fixture.log.drop(PlatformLog.SNAPSHOT_STREAM, fixture.log.end(PlatformLog.SNAPSHOT_STREAM) - 1);

    assertThat(store.newest()).map(StateSnapshot::offset).contains(1L);
  }

  @Test
  void should_ignore_a_snapshot_with_a_missing_chunk() {
    store.write("one", snapshotAt(1));
    store.write("two", snapshotAt(2));
    fixture.log.drop(PlatformLog.SNAPSHOT_STREAM, fixture.log.end(PlatformLog.SNAPSHOT_STREAM) - 3);

    assertThat(store.newest()).map(StateSnapshot::offset).contains(1L);
  }

  @Test
  void should_write_a_complete_snapshot_if_answers_are_lost() {
    fixture.log.enableSnapshotFaults();
    fixture.log.failNextAppends(
        AppendFault.ANSWER_LOST, AppendFault.REQUEST_LOST, AppendFault.DUPLICATED);
    StateSnapshot snapshot = snapshotAt(1);
    store.write("one", snapshot);

    assertThat(store.newest().orElseThrow().encode()).isEqualTo(snapshot.encode());
  }

  private static StateSnapshot snapshotAt(long offset) {
    ControlState state = new ControlState(StateSettings.DEFAULT);
    state.apply(
        offset,
        new Envelope("writer", 1, -1, 0, "region", 1, ReplicaFixture.configuration(0, "north")));
    return state.snapshot();
  }
}
