package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.StartOrder;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A connection to in-memory workers that can lose the answer to an order, or hold an order back and
 * have it carried out later, in the life that the worker has then.
 */
final class DisturbedGateway implements WorkerGateway {
  private static final long TIMEOUT_MILLIS = 600;

  private final FakeWorkers workers;
  private final ManualLoop loop;
  private final Map<String, Disturbance> disturbances = new HashMap<>();
  private final List<String> violationsInLaterLives = new ArrayList<>();
  private Consumer<String> observer = event -> {};

  DisturbedGateway(FakeWorkers workers, ManualLoop loop) {
    this.workers = workers;
    this.loop = loop;
  }

  /** The kinds of orders. */
  enum Kind {
    START,
    STOP,
    POLL
  }

  /** What happens to an order: it is carried out after a delay, or only its answer is lost. */
  private record Disturbance(boolean heldBack, long delayMillis) {}

  /** Sets what is told of each order that is disturbed. */
  void setObserver(Consumer<String> newObserver) {
    observer = newObserver;
  }

  /** Holds the next order of a kind to a worker back. */
  void holdBack(Kind kind, String worker, long millis) {
    disturbances.put(key(kind, worker), new Disturbance(true, millis));
  }

  /** Carries out the next order of a kind to a worker without answering it. */
  void loseAnswer(Kind kind, String worker) {
    disturbances.put(key(kind, worker), new Disturbance(false, 0));
  }

  /**
   * Returns those violations that an order caused which was sent to one life of a worker and
   * carried out in a later one.
   */
  List<String> violationsInLaterLives() {
    return violationsInLaterLives;
  }

  /** Disturbs no further orders; those that are held back are still carried out. */
  void calm() {
    disturbances.clear();
  }

  private static String key(Kind kind, String worker) {
    return kind + "/" + worker;
  }

  @Override
  public CompletableFuture<OrderAnswer> start(WorkerRegistration worker, StartOrder order) {
    return send(
        new Sent<>(Kind.START, worker, order, TIMEOUT_MILLIS, new OrderAnswer.Unanswered()),
        () -> workers.start(worker, order),
        life -> life.start(order));
  }

  @Override
  public CompletableFuture<OrderAnswer> stop(WorkerRegistration worker, StopOrder order) {
    return send(
        new Sent<>(Kind.STOP, worker, order, TIMEOUT_MILLIS, new OrderAnswer.Unanswered()),
        () -> workers.stop(worker, order),
        life -> life.stop(order));
  }

  @Override
  public CompletableFuture<PollAnswer> poll(WorkerRegistration worker, PollOrder order) {
    long timeoutMillis = order.waitMillis() + TIMEOUT_MILLIS;
    return send(
        new Sent<>(Kind.POLL, worker, order, timeoutMillis, new PollAnswer.Unanswered()),
        () -> workers.poll(worker, order),
        life -> life.poll(order));
  }

  /** An order on its way, and what its sender takes for the answer if there is none. */
  private record Sent<T>(
      Kind kind, WorkerRegistration worker, Record order, long timeoutMillis, T unanswered) {
    String describe() {
      return "for life " + worker.incarnation() + " of " + worker.id() + ": " + order;
    }
  }

  private <T> CompletableFuture<T> send(
      Sent<T> sent, Supplier<CompletableFuture<T>> usual, Function<FakeWorker, T> late) {
    Disturbance disturbance = disturbances.remove(key(sent.kind(), sent.worker().id()));
    if (disturbance == null) {
      return usual.get();
    }
    FakeWorker sentTo = workers.worker(sent.worker().id());
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.schedule(
        () -> answer.complete(sent.unanswered()), sent.timeoutMillis(), TimeUnit.MILLISECONDS);
    if (disturbance.heldBack()) {
      observer.accept("held back " + disturbance.delayMillis() + " ms, " + sent.describe());
      loop.schedule(
          () -> carryOut(sent, sentTo, late), disturbance.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      observer.accept("answer lost, " + sent.describe());
      usual.get().thenAccept(lost -> observer.accept("  lost: " + lost));
    }
    return answer;
  }

  private <T> void carryOut(Sent<T> sent, FakeWorker sentTo, Function<FakeWorker, T> action) {
    if (workers.isDown(sent.worker().id())) {
      observer.accept("lost with the crash, " + sent.describe());
      return;
    }
    FakeWorker life = workers.worker(sent.worker().id());
    int violationsBefore = workers.violations().size();
    observer.accept(
        "late in life "
            + life.incarnation()
            + ", sent to life "
            + sentTo.incarnation()
            + ", "
            + sent.describe());
    observer.accept("  -> " + action.apply(life));
    if (life != sentTo) {
      List<String> violations = workers.violations();
      violationsInLaterLives.addAll(violations.subList(violationsBefore, violations.size()));
    }
  }
}
