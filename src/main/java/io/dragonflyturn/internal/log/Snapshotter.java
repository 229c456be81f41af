package io.dragonflyturn.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.SnapshotClaim;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Claims and writes snapshots that are due. The log order of the claims determines which replica
 * writes each snapshot. If that replica fails, no snapshot is written until the next one is due.
 */
final class Snapshotter {
  private static final Logger LOG = Logger.getLogger(Snapshotter.class);
  private static final long CHECK_INTERVAL_MILLIS = 200;

  private final ReplicatedState replica;
  private final String writer;
  private final SnapshotStore store;
  private final SnapshotSettings settings;
  private final InstantSource wallClock;
  private final SplittableRandom random;
  private final Counter writtenCount;
  private final Counter failedCount;
  private final Histogram sizeBytes;

  Snapshotter(
      ReplicatedState replica,
      String writer,
      SnapshotStore store,
      SnapshotSettings settings,
      InstantSource wallClock,
      MetricRegistry metrics) {
    this.replica = replica;
    this.writer = writer;
    this.store = store;
    this.settings = settings;
    this.wallClock = wallClock;
    this.random = new SplittableRandom(settings.seed());
    this.writtenCount = metrics.counter("snapshots.taken");
    this.failedCount = metrics.counter("snapshots.failed");
    this.sizeBytes = metrics.histogram("snapshots.bytes");
  }

  /** Claims snapshots that are due until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
      if (isDue()) {
        TimeUnit.MILLISECONDS.sleep(random.nextLong(settings.maxJitter().toMillis() + 1));
        proposeClaim();
      }
    }
  }

  private void proposeClaim() {
    if (isDue()) {
      SnapshotClaim lastClaim = replica.read(state -> state.snapshotClaim());
      ControlRecord claim = new ControlRecord.SnapshotClaimed(writer, lastClaim.offset());
      replica.propose(claim, 0).exceptionally(refused -> null).join();
    }
  }

  private boolean isDue() {
    SnapshotClaim lastClaim = replica.read(state -> state.snapshotClaim());
    long appliedOffset = replica.appliedOffset();
    if (!replica.hasCaughtUp() || appliedOffset <= lastClaim.offset()) {
      return false;
    }
    boolean intervalElapsed =
        wallClock.millis() - lastClaim.atMillis() >= settings.interval().toMillis();
    return intervalElapsed || appliedOffset - lastClaim.offset() >= settings.maxBatches();
  }

  /** Writes a snapshot that this replica has claimed. */
  void write(StateSnapshot snapshot) {
    try {
      sizeBytes.update(store.write(writer, snapshot));
      writtenCount.inc();
    } catch (LogException failure) {
      failedCount.inc();
      LOG.warnf(
          "Failed to write the snapshot at offset %d: %s", snapshot.offset(), failure.getMessage());
    }
  }
}
