package io.dragonflyturn.internal.protocol;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Answers the messages that a control plane takes, and hands on all others. */
public final class ControlPlaneHandler implements MessageHandler {
  private final ControlPlane controlPlane;
  private final MessageHandler others;

  /** Creates a handler over a control plane. */
  public ControlPlaneHandler(ControlPlane controlPlane, MessageHandler others) {
    this.controlPlane = controlPlane;
    this.others = others;
  }

  @Override
  public CompletableFuture<Message> handle(Message message) {
    return switch (message) {
      case Message.Propose propose ->
          controlPlane.propose(propose.record()).thenApply(Message.Proposed::new);
      case Message.FetchView ask ->
          controlPlane
              .routingView(ask.entry(), ask.knownVersion(), Duration.ofMillis(ask.waitMillis()))
              .thenApply(Message.View::new);
      case Message.Query ask -> controlPlane.query(ask.query()).thenApply(Message.QueryAnswer::new);
      default -> others.handle(message);
    };
  }
}
