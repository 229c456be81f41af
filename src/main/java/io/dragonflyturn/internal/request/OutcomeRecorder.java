package io.dragonflyturn.internal.request;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Writes request outcomes to the log in the background, so that they survive this entry.
 *
 * <p>Many proposals are in flight at a time, so that the scheduler can group them into one append.
 * While the log is unavailable, outcomes are buffered up to a limit; beyond it the oldest are
 * dropped and counted.
 */
final class OutcomeRecorder {
  private static final int MAXIMUM_PENDING_PROPOSALS = 256;

  private final ControlPlane controlPlane;
  private final String incarnation;
  private final RequestTimer timer;
  private final Duration retryDelay;
  private final int outcomeLimit;
  private final Consumer<RequestKey> onRecorded;
  private final Meter dropped;
  private final Deque<ControlRecord.RequestFinished> waiting = new ArrayDeque<>();
  private final List<CompletableFuture<Void>> flushes = new ArrayList<>();
  private int pending;
  private boolean paused;

  OutcomeRecorder(
      ControlPlane controlPlane,
      String incarnation,
      RequestTimer timer,
      RequestSettings settings,
      MetricRegistry metrics,
      Consumer<RequestKey> onRecorded) {
    this.controlPlane = controlPlane;
    this.incarnation = incarnation;
    this.timer = timer;
    this.retryDelay = settings.retryAfter();
    this.outcomeLimit = settings.outcomeLimit();
    this.onRecorded = onRecorded;
    this.dropped = metrics.meter("requests.outcomes.dropped");
  }

  /** Records the outcome of a request asynchronously. */
  void record(RequestCall call, RequestResponse response) {
    String content = response.answer() == null ? response.message() : response.answer();
    add(
        new ControlRecord.RequestFinished(
            call.requestId(), call.customer(), incarnation, response.code(), content));
  }

  /**
   * Writes the shutdown record, which states that this incarnation sends no more requests, and
   * flushes.
   */
  CompletableFuture<Void> close() {
    add(ShutdownRecord.of(incarnation));
    return flush();
  }

  /**
   * Returns a future that completes when no outcome is waiting to be written to the log any more.
   * Dropped outcomes are not waited for.
   */
  CompletableFuture<Void> flush() {
    CompletableFuture<Void> flush = new CompletableFuture<>();
    synchronized (this) {
      flushes.add(flush);
    }
    completeFlushes();
    return flush;
  }

  /** Returns the number of outcomes that are not in the log yet. */
  synchronized int backlog() {
    return waiting.size() + pending;
  }

  private void add(ControlRecord.RequestFinished outcome) {
    synchronized (this) {
      if (waiting.size() >= outcomeLimit) {
        waiting.removeFirst();
        dropped.mark();
      }
      waiting.addLast(outcome);
    }
    proposeNext();
  }

  private void proposeNext() {
    List<ControlRecord.RequestFinished> batch = new ArrayList<>();
    synchronized (this) {
      while (!paused && pending < MAXIMUM_PENDING_PROPOSALS && !waiting.isEmpty()) {
        batch.add(waiting.removeFirst());
        pending++;
      }
    }
    for (ControlRecord.RequestFinished outcome : batch) {
      controlPlane.propose(outcome).whenComplete((result, failure) -> onProposed(outcome, result));
    }
  }

  private void onProposed(ControlRecord.RequestFinished outcome, @Nullable ProposalOutcome result) {
    boolean recorded =
        result != null && (result.code().isSuccess() || result.code() == ResultCode.DUPLICATE);
    boolean refused = result != null && !recorded;
    synchronized (this) {
      pending--;
      if (result == null) {
        waiting.addFirst(outcome);
        pause();
      }
    }
    if (recorded) {
      onRecorded.accept(new RequestKey(outcome.customer(), outcome.key()));
    }
    if (refused) {
      dropped.mark();
    }
    proposeNext();
    completeFlushes();
  }

  private void pause() {
    if (!paused) {
      paused = true;
      timer.schedule(retryDelay, this::resume);
    }
  }

  private void resume() {
    synchronized (this) {
      paused = false;
    }
    proposeNext();
  }

  private void completeFlushes() {
    List<CompletableFuture<Void>> completed = new ArrayList<>();
    synchronized (this) {
      if (waiting.isEmpty() && pending == 0) {
        completed.addAll(flushes);
        flushes.clear();
      }
    }
    completed.forEach(flush -> flush.complete(null));
  }
}
