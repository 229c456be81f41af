package io.dragonflyturn.internal.request;

import java.util.concurrent.CompletableFuture;

/** Sends attempts to targets. */
public interface TargetClient {
  /**
   * Sends an attempt exactly once, without retries.
   *
   * <p>The future never fails: every result is reported as a {@link TargetReply}.
   *
   * @param address the IP address and port of the target
   * @param attempt the attempt to send
   */
  CompletableFuture<TargetReply> send(String address, RequestAttempt attempt);
}
