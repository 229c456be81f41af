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

/** Reads the control stream in order, from the newest snapshot on, and hands each batch on. */
final class LogFollower {
  /** Takes the batches that were read. */
  interface BatchSink {
    /** Takes the envelopes of the batch at an offset. */
    void accept(long offset, List<Envelope> envelopes);

    /** Goes on from a snapshot, in place of the batches that it covers. */
    void restore(StateSnapshot snapshot);
  }

  private static final Logger LOG = Logger.getLogger(LogFollower.class);

  private final ReadPath path;
  private final SnapshotStore snapshots;
  private final ReplicaSettings settings;
  private final NanosecondClock clock;
  private final LogAge age;
  private final BatchSink sink;
  private final RetryPause pause;
  private final Counter batchesRead;
  private final Counter readFailures;
  private final Counter unreadable;
  private final Counter gaps;
  private long next;
  private boolean reachable = true;
  private boolean gapReported;

  LogFollower(
      ReadPath path,
      SnapshotStore snapshots,
      ReplicaSettings settings,
      NanosecondClock clock,
      LogAge age,
      BatchSink sink,
      MetricRegistry metrics) {
    this.path = path;
    this.snapshots = snapshots;
    this.settings = settings;
    this.clock = clock;
    this.age = age;
    this.sink = sink;
    this.pause = new RetryPause(settings.retryDelay(), settings.seed() + 1);
    this.batchesRead = metrics.counter("log.batches.read");
    this.readFailures = metrics.counter("log.read.failures");
    this.gaps = metrics.counter("log.read.gaps");
    this.unreadable = metrics.counter("log.batches.unreadable");
  }

  /** Follows the stream until the thread is interrupted. */
  void run() throws InterruptedException {
    boolean started = false;
    while (!Thread.currentThread().isInterrupted()) {
      try {
        if (!started) {
          snapshots.newest().ifPresent(this::restore);
          started = true;
        }
        readOn();
      } catch (RuntimeException failure) {
        noteUnreachable(failure);
        pause.pause();
      }
    }
  }

  private void readOn() throws InterruptedException {
    ReadPath.DatedSlice dated = read();
    LogSlice slice = dated.slice();
    noteReachable();
    if (slice.firstAvailable() > next) {
      restoreOver(slice.firstAvailable());
    } else if (slice.end() < next) {
      noteGap("The log has lost offsets that were read before");
      pause.pause();
    } else {
      take(slice, dated.askedAtNanoseconds());
      long elapsed = clock.nanoseconds() - dated.askedAtNanoseconds();
      TimeUnit.NANOSECONDS.sleep(settings.readInterval().toNanos() - elapsed);
    }
  }

  /** A replica that is not fresh asks for an answer at once instead of waiting for news. */
  private ReadPath.DatedSlice read() {
    Duration usual = settings.readWait();
    boolean stale = isOlderThan(usual.multipliedBy(2));
    Duration wait = stale ? Duration.ZERO : usual;
    if (isOlderThan(settings.readTimeout().multipliedBy(2))) {
      // Nothing is gained by giving up on an answer that takes long, as large ones do.
      return path.read(PlatformLog.CONTROL_STREAM, next, wait);
    }
    return path.read(PlatformLog.CONTROL_STREAM, next, wait, settings.readTimeout());
  }

  private boolean isOlderThan(Duration bound) {
    return age.age().compareTo(bound) > 0;
  }

  /** Jumps over batches that have expired, by a snapshot that covers them. */
  private void restoreOver(long firstAvailable) throws InterruptedException {
    Optional<StateSnapshot> snapshot = snapshots.newest();
    if (snapshot.isPresent() && snapshot.get().offset() + 1 >= firstAvailable) {
      restore(snapshot.get());
    } else {
      noteGap("Batches have expired, and no snapshot covers them");
      pause.pause();
    }
  }

  private void restore(StateSnapshot snapshot) {
    if (snapshot.offset() >= next) {
      sink.restore(snapshot);
      next = snapshot.offset() + 1;
      LOG.infof("Goes on from the snapshot of offset %d.", snapshot.offset());
    }
  }

  private void take(LogSlice slice, long askedAt) {
    for (LogSlice.Batch batch : slice.batches()) {
      if (batch.offset() >= next) {
        batchesRead.inc();
        sink.accept(batch.offset(), decode(batch));
        next = batch.offset() + 1;
      }
    }
    if (next >= slice.end()) {
      age.fresh(askedAt);
    }
  }

  private List<Envelope> decode(LogSlice.Batch batch) {
    try {
      return EnvelopeBatch.decode(batch.content()).envelopes();
    } catch (DragonflyturnException broken) {
      unreadable.inc();
      LOG.warnf(
          "Batch %d of the control stream cannot be read; it is passed over.", batch.offset());
      return List.of();
    }
  }

  private void noteGap(String what) {
    gaps.inc();
    if (!gapReported) {
      gapReported = true;
      LOG.errorf("%s; next offset %d. This replica stands still.", what, next);
    }
  }

  private void noteReachable() {
    pause.succeeded();
    if (!reachable) {
      reachable = true;
      LOG.infof("The log answers again; next offset %d.", next);
    }
  }

  private void noteUnreachable(RuntimeException failure) {
    if (Thread.currentThread().isInterrupted()) {
      return;
    }
    readFailures.inc();
    if (reachable) {
      reachable = false;
      LOG.warnf("The log does not answer; next offset %d: %s", next, failure.getMessage());
    }
  }
}
