package io.dragonflyturn.internal.entry;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.request.RequestService;
import java.util.concurrent.CompletableFuture;

/** Handles the messages that other entries send to this entry. */
public final class EntryMessageHandler implements MessageHandler {
  private final String incarnation;
  private final RequestService requests;
  private final EntryEmergencyTakeOutService emergencyTakeOuts;

  /**
   * Creates the handler of an entry.
   *
   * @param incarnation the incarnation of this entry
   * @param requests handles forwarded requests
   * @param emergencyTakeOuts takes out failure domains
   */
  public EntryMessageHandler(
      String incarnation, RequestService requests, EntryEmergencyTakeOutService emergencyTakeOuts) {
    this.incarnation = incarnation;
    this.requests = requests;
    this.emergencyTakeOuts = emergencyTakeOuts;
  }

  @Override
  public CompletableFuture<Message> handle(Message message) {
    return switch (message) {
      case Message.Forward forward -> handleForward(forward);
      case Message.EmergencyTakeOut takeOut -> {
        emergencyTakeOuts.takeOutLocally(takeOut.failureDomain(), takeOut.actor());
        yield CompletableFuture.completedFuture(new Message.Acknowledged());
      }
      default ->
          CompletableFuture.failedFuture(
              new DragonflyturnException(
                  ResultCode.FRAME_BROKEN,
                  "An entry does not accept "
                      + message.getClass().getSimpleName()
                      + " messages; send them to a scheduler."));
    };
  }

  private CompletableFuture<Message> handleForward(Message.Forward forward) {
    TcpEntryForwarder.ForwardedCall call =
        MessagePackCodec.decode(forward.call(), TcpEntryForwarder.ForwardedCall.class);
    if (!call.incarnation().equals(incarnation)) {
      return CompletableFuture.failedFuture(
          new DragonflyturnException(
              ResultCode.PEER_UNREACHABLE,
              "The entry that owns the request is no longer running."));
    }
    return requests
        .handleForwarded(call.call())
        .thenApply(response -> new Message.Forwarded(MessagePackCodec.encode(response)));
  }
}
