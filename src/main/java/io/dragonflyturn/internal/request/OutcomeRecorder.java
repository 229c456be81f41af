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
 * Puts outcomes into the log in the background, so that they outlive this entry.
 *
 * <p>Many proposals are open at the same time, which the scheduler groups into one append. While
 * the log is out they wait here, bounded; the oldest are dropped and counted.
 */
final class OutcomeRecorder {
  private static final int MOST_OPEN_PROPOSALS = 256;

  private final ControlPlane controlPlane;
  private final String incarnation;
  private final RequestTimer timer;
  private final Duration retryDelay;
  private final int limit;
  private final Consumer<RequestKey> onRecorded;
  private final Meter dropped;
  private final Deque<ControlRecord.RequestFinished> waiting = new ArrayDeque<>();
  private final List<CompletableFuture<Void>> flushes = new ArrayList<>();
  private int open;
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
    this.limit = settings.outcomeLimit();
    this.onRecorded = onRecorded;
    this.dropped = metrics.meter("requests.outcomes.dropped");
  }

  /** Records an outcome later. */
  void record(RequestCall call, RequestResponse answer) {
    String content = answer.answer() == null ? answer.message() : answer.answer();
    add(
        new ControlRecord.RequestFinished(
            call.requestId(), call.customer(), incarnation, answer.code(), content));
  }

  /** Says in the log that this incarnation sends nothing any more. */
  CompletableFuture<Void> close() {
    add(ShutdownRecord.of(incarnation));
    return flush();
  }

  /** Completes when every outcome so far stands in the log. */
  CompletableFuture<Void> flush() {
    CompletableFuture<Void> flush = new CompletableFuture<>();
    synchronized (this) {
      flushes.add(flush);
    }
    completeFlushes();
    return flush;
  }

  /** Returns the number of outcomes that do not stand in the log yet. */
  synchronized int backlog() {
    return waiting.size() + open;
  }

  private void add(ControlRecord.RequestFinished outcome) {
    synchronized (this) {
      if (waiting.size() >= limit) {
        waiting.removeFirst();
        dropped.mark();
      }
      waiting.addLast(outcome);
    }
    proposeWaiting();
  }

  private void proposeWaiting() {
    List<ControlRecord.RequestFinished> batch = new ArrayList<>();
    synchronized (this) {
      while (!paused && open < MOST_OPEN_PROPOSALS && !waiting.isEmpty()) {
        batch.add(waiting.removeFirst());
        open++;
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
      open--;
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
    proposeWaiting();
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
    proposeWaiting();
  }

  private void completeFlushes() {
    List<CompletableFuture<Void>> done = new ArrayList<>();
    synchronized (this) {
      if (waiting.isEmpty() && open == 0) {
        done.addAll(flushes);
        flushes.clear();
      }
    }
    done.forEach(flush -> flush.complete(null));
  }
}
