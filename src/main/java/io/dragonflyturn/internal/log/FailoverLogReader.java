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
 * Reads from the log, or through a peer while the log is unreachable for this replica.
 *
 * <p>While the log is unreachable, a separate thread probes it, so that a hanging log does not
 * delay reads through peers.
 */
final class FailoverLogReader {
  private static final Duration NO_TIMEOUT = Duration.ofDays(1);

  /** An offset that no stream reaches, so that a probe transfers no batches. */
  private static final long BEYOND_END_OFFSET = Long.MAX_VALUE / 2;

  /**
   * A slice with the time of the request. All batches appended before that time are in the slice or
   * precede its start.
   *
   * @param slice the slice that was read
   * @param requestedAtNanoseconds the time of the request on the monotonic clock
   */
  record TimestampedSlice(LogSlice slice, long requestedAtNanoseconds) {}

  private final PlatformLog log;
  private final PeerLog peers;
  private final NanosecondClock clock;
  private final Executor executor;
  private final RetryBackoff backoff;
  private final Counter peerReads;
  private final Counter failedProbes;
  private final Counter hungReads;
  private final AtomicBoolean logUnreachable = new AtomicBoolean();
  private volatile boolean lastReadThroughPeer;

  FailoverLogReader(
      PlatformLog log,
      PeerLog peers,
      ReplicaSettings settings,
      NanosecondClock clock,
      Executor executor,
      MetricRegistry metrics) {
    this.log = log;
    this.peers = peers;
    this.clock = clock;
    this.executor = executor;
    this.backoff = new RetryBackoff(settings.retryDelay(), settings.seed() + 1);
    this.peerReads = metrics.counter("log.read.through-peer");
    this.hungReads = metrics.counter("log.read.hung");
    this.failedProbes = metrics.counter("log.read.failed-probes");
  }

  /**
   * Reads like {@link PlatformLog#read}, without a timeout other than that of the log client.
   *
   * @throws LogException if neither the log nor a peer answers
   */
  TimestampedSlice read(String stream, long fromOffset, Duration maximumWait) {
    return read(stream, fromOffset, maximumWait, NO_TIMEOUT);
  }

  /**
   * Reads like {@link PlatformLog#read}, and considers the log unreachable if it does not answer
   * within the timeout.
   *
   * @throws LogException if neither the log nor a peer answers
   */
  TimestampedSlice read(String stream, long fromOffset, Duration maximumWait, Duration timeout) {
    long requestedAtNanoseconds = clock.nanoseconds();
    if (logUnreachable.get()) {
      return readThroughPeer(stream, fromOffset, maximumWait);
    }
    try {
      LogSlice slice = readLog(stream, fromOffset, maximumWait, timeout);
      lastReadThroughPeer = false;
      return new TimestampedSlice(slice, requestedAtNanoseconds);
    } catch (LogException failure) {
      markLogUnreachable();
      return readThroughPeerAfter(failure, stream, fromOffset);
    }
  }

  private LogSlice readLog(String stream, long fromOffset, Duration maximumWait, Duration timeout) {
    FutureTask<LogSlice> readTask =
        new FutureTask<>(() -> log.read(stream, fromOffset, maximumWait));
    executor.execute(readTask);
    try {
      return readTask.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (ExecutionException failure) {
      throw failure.getCause() instanceof LogException logFailure
          ? logFailure
          : readFailure(failure);
    } catch (TimeoutException timedOut) {
      readTask.cancel(true);
      hungReads.inc();
      throw readFailure(timedOut);
    } catch (InterruptedException interrupted) {
      readTask.cancel(true);
      Thread.currentThread().interrupt();
      throw readFailure(interrupted);
    }
  }

  private static LogException readFailure(Throwable cause) {
    return new LogException(LogException.Effect.NONE, "The log did not answer a read.", cause);
  }

  /** Reads through a peer without waiting for new batches, because the failed read took time. */
  private TimestampedSlice readThroughPeerAfter(
      LogException failure, String stream, long fromOffset) {
    try {
      return readThroughPeer(stream, fromOffset, Duration.ZERO);
    } catch (LogException peerFailure) {
      failure.addSuppressed(peerFailure);
      throw failure;
    }
  }

  private TimestampedSlice readThroughPeer(String stream, long fromOffset, Duration maximumWait) {
    long requestedAtNanoseconds = clock.nanoseconds();
    try {
      LogSlice slice = peers.read(stream, fromOffset, maximumWait);
      lastReadThroughPeer = true;
      peerReads.inc();
      return new TimestampedSlice(slice, requestedAtNanoseconds);
    } catch (LogException peerFailure) {
      lastReadThroughPeer = false;
      throw peerFailure;
    }
  }

  private void markLogUnreachable() {
    if (!Thread.currentThread().isInterrupted() && logUnreachable.compareAndSet(false, true)) {
      executor.execute(this::probe);
    }
  }

  /** Probes the log until it answers again. */
  private void probe() {
    try {
      while (logUnreachable.get()) {
        backoff.sleep();
        probeOnce();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void probeOnce() {
    try {
      log.read(PlatformLog.CONTROL_STREAM, BEYOND_END_OFFSET, Duration.ZERO);
      backoff.reset();
      logUnreachable.set(false);
    } catch (LogException failure) {
      failedProbes.inc();
    }
  }

  /** Returns whether the last read that succeeded went through a peer. */
  boolean isReadingThroughPeer() {
    return lastReadThroughPeer;
  }
}
