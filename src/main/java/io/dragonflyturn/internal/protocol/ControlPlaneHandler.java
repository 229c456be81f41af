package io.dragonflyturn.internal.protocol;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Dispatches control plane messages to a {@link ControlPlane} and all other messages to another
 * handler.
 */
public final class ControlPlaneHandler implements MessageHandler {
  private final ControlPlane controlPlane;
  private final MessageHandler fallback;

  /** Creates a handler for a control plane with a handler for all other messages. */
  public ControlPlaneHandler(ControlPlane controlPlane, MessageHandler fallback) {
    this.controlPlane = controlPlane;
    this.fallback = fallback;
  }

  @Override
  public CompletableFuture<Message> handle(Message message) {
    return switch (message) {
      case Message.Propose propose ->
          controlPlane.propose(propose.record()).thenApply(Message.Proposed::new);
      case Message.FetchView request ->
          controlPlane
              .routingView(
                  request.entry(), request.knownVersion(), Duration.ofMillis(request.waitMillis()))
              .thenApply(Message.View::new);
      case Message.Query request ->
          controlPlane.query(request.query()).thenApply(Message.QueryAnswer::new);
      default -> fallback.handle(message);
    };
  }
}
