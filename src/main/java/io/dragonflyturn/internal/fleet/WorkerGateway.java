package io.dragonflyturn.internal.fleet;

import java.util.concurrent.CompletableFuture;

/** Gives orders to workers. The futures never complete exceptionally. */
public interface WorkerGateway {
  /** Orders a worker to start a task. */
  CompletableFuture<OrderAnswer> start(WorkerRegistration worker, StartOrder order);

  /** Orders a worker to stop a task. */
  CompletableFuture<OrderAnswer> stop(WorkerRegistration worker, StopOrder order);

  /** Renews a worker's lease and asks for its list of runs. */
  CompletableFuture<PollAnswer> poll(WorkerRegistration worker, PollOrder order);
}
