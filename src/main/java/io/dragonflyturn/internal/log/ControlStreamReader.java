package io.dragonflyturn.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Reads the control stream in order, starting at the newest snapshot, and handles each batch. */
final class ControlStreamReader {
  /** Receives the batches and snapshots that were read, in order. */
  interface BatchHandler {
    /** Handles the envelopes of the batch at the given offset. */
    void accept(long offset, List<Envelope> envelopes);

    /** Restores a snapshot in place of the batches that it covers. */
    void restore(StateSnapshot snapshot);
  }

  private static final Logger LOG = Logger.getLogger(ControlStreamReader.class);

  private final FailoverLogReader logReader;
  private final SnapshotStore snapshots;
  private final ReplicaSettings settings;
  private final NanosecondClock clock;
  private final LogAge age;
  private final BatchHandler handler;
  private final RetryBackoff backoff;
  private final Counter batchesRead;
  private final Counter readFailures;
  private final Counter unreadableBatches;
  private final Counter gaps;
  private long nextOffset;
  private boolean reachable = true;
  private boolean gapReported;

  ControlStreamReader(
      FailoverLogReader logReader,
      SnapshotStore snapshots,
      ReplicaSettings settings,
      NanosecondClock clock,
      LogAge age,
      BatchHandler handler,
      MetricRegistry metrics) {
    this.logReader = logReader;
    this.snapshots = snapshots;
    this.settings = settings;
    this.clock = clock;
    this.age = age;
    this.handler = handler;
    this.backoff = new RetryBackoff(settings.retryDelay(), settings.seed() + 1);
    this.batchesRead = metrics.counter("log.batches.read");
    this.readFailures = metrics.counter("log.read.failures");
    this.gaps = metrics.counter("log.read.gaps");
    this.unreadableBatches = metrics.counter("log.batches.unreadable");
  }

  /** Reads the stream until the thread is interrupted. */
  void run() throws InterruptedException {
    boolean initialized = false;
    while (!Thread.currentThread().isInterrupted()) {
      try {
        if (!initialized) {
          snapshots.newest().ifPresent(this::restore);
          initialized = true;
        }
        readNext();
      } catch (RuntimeException failure) {
        markUnreachable(failure);
        backoff.sleep();
      }
    }
  }

  private void readNext() throws InterruptedException {
    FailoverLogReader.TimestampedSlice response = read();
    LogSlice slice = response.slice();
    markReachable();
    if (slice.firstAvailable() > nextOffset) {
      restoreFromSnapshot(slice.firstAvailable());
    } else if (slice.end() < nextOffset) {
      reportGap("The log has lost batches that were already read");
      backoff.sleep();
    } else {
      handle(slice, response.requestedAtNanoseconds());
      long elapsedNanoseconds = clock.nanoseconds() - response.requestedAtNanoseconds();
      TimeUnit.NANOSECONDS.sleep(settings.readInterval().toNanos() - elapsedNanoseconds);
    }
  }

  /** Reads the next slice. A replica with a stale view does not wait for new batches. */
  private FailoverLogReader.TimestampedSlice read() {
    Duration maximumWait = settings.readWait();
    boolean stale = isOlderThan(maximumWait.multipliedBy(2));
    Duration wait = stale ? Duration.ZERO : maximumWait;
    if (isOlderThan(settings.readTimeout().multipliedBy(2))) {
      // The view is stale anyway, and a large answer may need more time than the read timeout.
      return logReader.read(PlatformLog.CONTROL_STREAM, nextOffset, wait);
    }
    return logReader.read(PlatformLog.CONTROL_STREAM, nextOffset, wait, settings.readTimeout());
  }

  private boolean isOlderThan(Duration bound) {
    return age.age().compareTo(bound) > 0;
  }

  /** Restores a snapshot that covers the batches that have expired from the log. */
  private void restoreFromSnapshot(long firstAvailable) throws InterruptedException {
    Optional<StateSnapshot> snapshot = snapshots.newest();
    if (snapshot.isPresent() && snapshot.get().offset() + 1 >= firstAvailable) {
      restore(snapshot.get());
    } else {
      reportGap("Batches have expired, and no snapshot covers them");
      backoff.sleep();
    }
  }

  private void restore(StateSnapshot snapshot) {
    if (snapshot.offset() >= nextOffset) {
      handler.restore(snapshot);
      nextOffset = snapshot.offset() + 1;
      LOG.infof("Restored the snapshot at offset %d.", snapshot.offset());
    }
  }

  private void handle(LogSlice slice, long requestedAtNanoseconds) {
    for (LogSlice.Batch batch : slice.batches()) {
      if (batch.offset() >= nextOffset) {
        batchesRead.inc();
        handler.accept(batch.offset(), decode(batch));
        nextOffset = batch.offset() + 1;
      }
    }
    if (nextOffset >= slice.end()) {
      age.markFresh(requestedAtNanoseconds);
    }
  }

  private List<Envelope> decode(LogSlice.Batch batch) {
    try {
      return EnvelopeBatch.decode(batch.content()).envelopes();
    } catch (DragonflyturnException exception) {
      unreadableBatches.inc();
      LOG.warnf("Batch %d of the control stream cannot be decoded; skipping it.", batch.offset());
      return List.of();
    }
  }

  private void reportGap(String problem) {
    gaps.inc();
    if (!gapReported) {
      gapReported = true;
      LOG.errorf("%s; next offset %d. This replica cannot make progress.", problem, nextOffset);
    }
  }

  private void markReachable() {
    backoff.reset();
    if (!reachable) {
      reachable = true;
      LOG.infof("The log is reachable again; next offset %d.", nextOffset);
    }
  }

  private void markUnreachable(RuntimeException failure) {
    if (Thread.currentThread().isInterrupted()) {
      return;
    }
    readFailures.inc();
    if (reachable) {
      reachable = false;
      LOG.warnf("The log is unreachable; next offset %d: %s", nextOffset, failure.getMessage());
    }
  }
}
