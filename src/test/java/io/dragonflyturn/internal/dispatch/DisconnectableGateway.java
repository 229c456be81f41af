package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.StartOrder;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A connection to the workers that can be disconnected for each worker. */
record DisconnectableGateway(WorkerGateway gateway, Set<String> unreachableWorkers, ManualLoop loop)
    implements WorkerGateway {
  private static final long TIMEOUT_MILLIS = 800;

  @Override
  public CompletableFuture<OrderAnswer> start(WorkerRegistration worker, StartOrder order) {
    return isReachable(worker)
        ? gateway.start(worker, order)
        : after(TIMEOUT_MILLIS, new OrderAnswer.Unanswered());
  }

  @Override
  public CompletableFuture<OrderAnswer> stop(WorkerRegistration worker, StopOrder order) {
    return isReachable(worker)
        ? gateway.stop(worker, order)
        : after(TIMEOUT_MILLIS, new OrderAnswer.Unanswered());
  }

  @Override
  public CompletableFuture<PollAnswer> poll(WorkerRegistration worker, PollOrder order) {
    return isReachable(worker)
        ? gateway.poll(worker, order)
        : after(order.waitMillis() + TIMEOUT_MILLIS, new PollAnswer.Unanswered());
  }

  private boolean isReachable(WorkerRegistration worker) {
    return !unreachableWorkers.contains(worker.id());
  }

  private <T> CompletableFuture<T> after(long delayMillis, T answer) {
    CompletableFuture<T> future = new CompletableFuture<>();
    loop.schedule(() -> future.complete(answer), delayMillis, TimeUnit.MILLISECONDS);
    return future;
  }
}
