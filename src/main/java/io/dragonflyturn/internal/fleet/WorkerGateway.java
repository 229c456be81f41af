package io.dragonflyturn.internal.fleet;

import java.util.concurrent.CompletableFuture;

/** Sends orders to workers. The returned futures never complete exceptionally. */
public interface WorkerGateway {
  /** Sends an order to start a run. */
  CompletableFuture<OrderAnswer> start(WorkerRegistration worker, StartOrder order);

  /** Sends an order to stop a run. */
  CompletableFuture<OrderAnswer> stop(WorkerRegistration worker, StopOrder order);

  /** Polls a worker for its active and ended runs, and renews its lease. */
  CompletableFuture<PollAnswer> poll(WorkerRegistration worker, PollOrder order);
}
