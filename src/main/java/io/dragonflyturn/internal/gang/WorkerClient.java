package io.dragonflyturn.internal.gang;

import java.util.concurrent.CompletableFuture;

/** Sends exchanges to workers over the network. */
public interface WorkerClient {
  /**
   * Sends an exchange to a worker.
   *
   * @param address the address of the worker
   * @param exchange the exchange to send
   * @return a future with the worker's report; it fails if the worker did not answer, in which case
   *     the commands may or may not have taken effect
   */
  CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange);
}
