package io.dragonflyturn.internal.protocol;

import java.util.concurrent.CompletableFuture;

/** Handles messages from peers. */
@FunctionalInterface
public interface MessageHandler {
  /**
   * Returns the answer to a message. If the future fails with {@link
   * io.dragonflyturn.DragonflyturnException}, the peer receives its code and message.
   */
  CompletableFuture<Message> handle(Message message);
}
