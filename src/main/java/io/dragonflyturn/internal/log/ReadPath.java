package io.dragonflyturn.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Reads the log, and through a peer while the log does not answer this replica.
 *
 * <p>While it is cut off, a thread of its own tries the log again, so that a log that hangs does
 * not hold up reads through peers.
 */
final class ReadPath {
  private static final Duration PATIENT = Duration.ofDays(1);
  private static final long BEYOND_END = Long.MAX_VALUE / 2;

  /**
   * A slice with the time at which it was asked for: everything appended before is in it or was
   * asked for from a later offset.
   *
   * @param slice what was read
   * @param askedAtNanoseconds the reading of the monotonic clock
   */
  record DatedSlice(LogSlice slice, long askedAtNanoseconds) {}

  private final PlatformLog log;
  private final PeerLog peers;
  private final NanosecondClock clock;
  private final Executor threads;
  private final RetryPause pause;
  private final Counter peerReads;
  private final Counter failedProbes;
  private final Counter hungReads;
  private final AtomicBoolean cutOff = new AtomicBoolean();
  private volatile boolean throughPeer;

  ReadPath(
      PlatformLog log,
      PeerLog peers,
      ReplicaSettings settings,
      NanosecondClock clock,
      Executor threads,
      MetricRegistry metrics) {
    this.log = log;
    this.peers = peers;
    this.clock = clock;
    this.threads = threads;
    this.pause = new RetryPause(settings.retryDelay(), settings.seed() + 1);
    this.peerReads = metrics.counter("log.read.through-peer");
    this.hungReads = metrics.counter("log.read.hung");
    this.failedProbes = metrics.counter("log.read.failed-probes");
  }

  /**
   * Reads as {@link PlatformLog#read} does, for as long as the log's own time-out lets it.
   *
   * @throws LogException where neither the log nor a peer answers
   */
  DatedSlice read(String stream, long fromOffset, Duration maximumWait) {
    return read(stream, fromOffset, maximumWait, PATIENT);
  }

  /**
   * Reads likewise, and takes the log for hung where it does not answer within the time-out.
   *
   * @throws LogException where neither the log nor a peer answers
   */
  DatedSlice read(String stream, long fromOffset, Duration maximumWait, Duration timeout) {
    long askedAt = clock.nanoseconds();
    if (cutOff.get()) {
      return readThroughPeer(stream, fromOffset, maximumWait);
    }
    try {
      LogSlice slice = readLog(stream, fromOffset, maximumWait, timeout);
      throughPeer = false;
      return new DatedSlice(slice, askedAt);
    } catch (LogException failure) {
      noteCutOff();
      return readThroughPeerAfter(failure, stream, fromOffset);
    }
  }

  private LogSlice readLog(String stream, long fromOffset, Duration maximumWait, Duration timeout) {
    FutureTask<LogSlice> answer = new FutureTask<>(() -> log.read(stream, fromOffset, maximumWait));
    threads.execute(answer);
    try {
      return answer.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (ExecutionException failure) {
      throw failure.getCause() instanceof LogException known ? known : failed(failure);
    } catch (TimeoutException hung) {
      answer.cancel(true);
      hungReads.inc();
      throw failed(hung);
    } catch (InterruptedException interrupted) {
      answer.cancel(true);
      Thread.currentThread().interrupt();
      throw failed(interrupted);
    }
  }

  private static LogException failed(Throwable cause) {
    return new LogException(LogException.Effect.NONE, "The log gave no answer to a read.", cause);
  }

  /** Time was lost on the log already, so the peer is asked for an answer at once. */
  private DatedSlice readThroughPeerAfter(LogException failure, String stream, long fromOffset) {
    try {
      return readThroughPeer(stream, fromOffset, Duration.ZERO);
    } catch (LogException nobody) {
      failure.addSuppressed(nobody);
      throw failure;
    }
  }

  private DatedSlice readThroughPeer(String stream, long fromOffset, Duration maximumWait) {
    long askedAt = clock.nanoseconds();
    try {
      LogSlice slice = peers.read(stream, fromOffset, maximumWait);
      throughPeer = true;
      peerReads.inc();
      return new DatedSlice(slice, askedAt);
    } catch (LogException nobody) {
      throughPeer = false;
      throw nobody;
    }
  }

  private void noteCutOff() {
    if (!Thread.currentThread().isInterrupted() && cutOff.compareAndSet(false, true)) {
      threads.execute(this::probe);
    }
  }

  /** Tries the log until it answers again. */
  private void probe() {
    try {
      while (cutOff.get()) {
        pause.pause();
        tryOnce();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void tryOnce() {
    try {
      log.read(PlatformLog.CONTROL_STREAM, BEYOND_END, Duration.ZERO);
      pause.succeeded();
      cutOff.set(false);
    } catch (LogException still) {
      failedProbes.inc();
    }
  }

  /** Returns whether the last read that succeeded went through a peer. */
  boolean isThroughPeer() {
    return throughPeer;
  }
}
