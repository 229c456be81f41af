package io.dragonflyturn.internal.entry;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.request.RequestService;
import java.util.concurrent.CompletableFuture;

/** Answers the messages of other entries. */
public final class EntryMessageHandler implements MessageHandler {
  private final String incarnation;
  private final RequestService requests;
  private final EntryBrake brake;

  /** Creates the handler of an entry. */
  public EntryMessageHandler(String incarnation, RequestService requests, EntryBrake brake) {
    this.incarnation = incarnation;
    this.requests = requests;
    this.brake = brake;
  }

  @Override
  public CompletableFuture<Message> handle(Message message) {
    return switch (message) {
      case Message.Forward forward -> forwarded(forward);
      case Message.EmergencyTakeOut takeOut -> {
        brake.takeOutHere(takeOut.failureDomain(), takeOut.actor());
        yield CompletableFuture.completedFuture(new Message.Acknowledged());
      }
      default ->
          CompletableFuture.failedFuture(
              new DragonflyturnException(
                  ResultCode.FRAME_BROKEN,
                  "An entry takes no "
                      + message.getClass().getSimpleName()
                      + "; send it to a scheduler."));
    };
  }

  private CompletableFuture<Message> forwarded(Message.Forward forward) {
    TcpEntryForwarder.ForwardedCall call =
        MessagePackCodec.decode(forward.call(), TcpEntryForwarder.ForwardedCall.class);
    if (!call.incarnation().equals(incarnation)) {
      return CompletableFuture.failedFuture(
          new DragonflyturnException(
              ResultCode.PEER_UNREACHABLE, "The entry that owns the request is gone."));
    }
    return requests
        .handleForwarded(call.call())
        .thenApply(answer -> new Message.Forwarded(MessagePackCodec.encode(answer)));
  }
}
