package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Unanswered;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.SequencedSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to workers, within {@link OrderConcurrency} and a limit per worker. Workers with
 * waiting orders take turns. Not thread-safe; used on the event loop only.
 *
 * <p>A worker gets its stop orders before its start orders: a run that is to be stopped goes on,
 * and keeps its resources, until the order arrives, while a start only begins later.
 *
 * <p>An order is created only when it is sent, so that it is based on the state and the lease of
 * that moment.
 */
final class OrderQueue {
  private static final int MAXIMUM_ORDERS_PER_WORKER = 4;

  private final DispatchContext context;
  private final OrderConcurrency concurrency = new OrderConcurrency();
  private final Map<String, WorkerOrders> ordersByWorker = new HashMap<>();

  /** The workers that have waiting orders and may get one, in the order of their turns. */
  private final SequencedSet<WorkerOrders> turns = new LinkedHashSet<>();

  private int unanswered;
  private long sentOrders;

  OrderQueue(DispatchContext context) {
    this.context = context;
  }

  /** Creates an order and sends it. */
  @FunctionalInterface
  interface Sender {
    /** Returns a future of the answer; null if the order is no longer needed. */
    @Nullable CompletableFuture<OrderAnswer> send();
  }

  /** An order that waits to be sent. */
  private record Waiting(Sender sender, Consumer<OrderAnswer> onAnswer) {}

  /** The orders to one worker. */
  private static final class WorkerOrders {
    private final String worker;
    private final Deque<Waiting> stops = new ArrayDeque<>();
    private final Deque<Waiting> starts = new ArrayDeque<>();
    private int unanswered;

    WorkerOrders(String worker) {
      this.worker = worker;
    }

    boolean hasWaiting() {
      return !stops.isEmpty() || !starts.isEmpty();
    }

    Waiting removeNext() {
      return stops.isEmpty() ? starts.remove() : stops.remove();
    }
  }

  /**
   * Sends a start order to a worker as soon as the limits allow it.
   *
   * @param onAnswer receives the answer on the event loop; not called if the order is no longer
   *     needed
   */
  void submitStart(String worker, Sender sender, Consumer<OrderAnswer> onAnswer) {
    submit(worker, orders -> orders.starts, new Waiting(sender, onAnswer));
  }

  /** Sends a stop order to a worker, as {@link #submitStart} does, but before its start orders. */
  void submitStop(String worker, Sender sender, Consumer<OrderAnswer> onAnswer) {
    submit(worker, orders -> orders.stops, new Waiting(sender, onAnswer));
  }

  private void submit(
      String worker, Function<WorkerOrders, Deque<Waiting>> waiting, Waiting order) {
    WorkerOrders orders = ordersByWorker.computeIfAbsent(worker, WorkerOrders::new);
    waiting.apply(orders).add(order);
    updateTurn(orders);
    sendWaiting();
  }

  /** Returns the number of orders that have been sent to all workers so far. */
  long sentOrders() {
    return sentOrders;
  }

  private void updateTurn(WorkerOrders orders) {
    if (orders.hasWaiting() && orders.unanswered < MAXIMUM_ORDERS_PER_WORKER) {
      turns.add(orders);
    } else {
      turns.remove(orders);
    }
    if (!orders.hasWaiting() && orders.unanswered == 0) {
      ordersByWorker.remove(orders.worker, orders);
    }
  }

  private void sendWaiting() {
    while (unanswered < concurrency.limit() && !turns.isEmpty()) {
      WorkerOrders orders = turns.removeFirst();
      send(orders, orders.removeNext());
      updateTurn(orders);
    }
  }

  private void send(WorkerOrders orders, Waiting order) {
    CompletableFuture<OrderAnswer> answer = order.sender.send();
    if (answer == null) {
      return;
    }
    sentOrders++;
    unanswered++;
    orders.unanswered++;
    long sentMillis = context.nowMillis();
    answer.whenCompleteAsync(
        LoggedCallback.of(
            context.events(),
            "orderAnswered",
            (received, failure) ->
                handleAnswer(
                    orders, order, sentMillis, received == null ? new Unanswered() : received)),
        context.eventLoop());
  }

  private void handleAnswer(
      WorkerOrders orders, Waiting order, long sentMillis, OrderAnswer answer) {
    if (answer instanceof Unanswered) {
      concurrency.unanswered(sentMillis, context.nowMillis());
    } else {
      concurrency.answered(sentMillis, context.nowMillis());
    }
    unanswered--;
    orders.unanswered--;
    updateTurn(orders);
    try {
      order.onAnswer.accept(answer);
    } finally {
      sendWaiting();
    }
  }
}
