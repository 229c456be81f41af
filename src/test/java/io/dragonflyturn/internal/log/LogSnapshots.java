package io.dragonflyturn.internal.log;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.time.Duration;
import java.util.Optional;

/** Reads and writes snapshots in the same way as replicas, for tests and checkers. */
public final class LogSnapshots {
  private static final int CHUNK_BYTES = 256 * 1024;

  private LogSnapshots() {}

  /** Returns the newest complete snapshot; empty if there is none. */
  public static Optional<StateSnapshot> newest(PlatformLog log) {
    return store(log, CHUNK_BYTES).newest();
  }

  /** Writes a complete snapshot. */
  public static void write(PlatformLog log, StateSnapshot snapshot) {
    store(log, CHUNK_BYTES).write("taker", snapshot);
  }

  static SnapshotStore store(PlatformLog log, int chunkBytes) {
    ReplicaSettings settings = ReplicaFixture.settings("store");
    FailoverLogReader logReader =
        new FailoverLogReader(
            log,
            PeerLog.NONE,
            settings,
            NanosecondClock.SYSTEM,
            Runnable::run,
            new MetricRegistry());
    SnapshotSettings snapshots =
        new SnapshotSettings(Duration.ofHours(1), Long.MAX_VALUE, Duration.ZERO, chunkBytes, 1);
    return new SnapshotStore(log, logReader, snapshots, Duration.ofSeconds(1));
  }
}
