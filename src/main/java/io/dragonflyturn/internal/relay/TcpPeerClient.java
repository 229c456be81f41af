package io.dragonflyturn.internal.relay;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.intake.CallForwarder;
import io.dragonflyturn.internal.intake.CallerCall;
import io.dragonflyturn.internal.intake.JobRequestHandler;
import io.dragonflyturn.internal.intake.PeerAnswer;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Forwards API calls between instances over their TCP protocol. Instances send calls with this
 * client, and answer the calls of peers with the handler of {@link #server}.
 */
public final class TcpPeerClient implements CallForwarder.PeerClient {
  private final ProtocolClients clients;

  /** Creates a client that uses shared connections. */
  public TcpPeerClient(ProtocolClients clients) {
    this.clients = clients;
  }

  @Override
  public CompletableFuture<PeerAnswer> call(
      String address, CallerCall call, long minConfigurationVersion, Duration timeout) {
    return clients
        .at(address)
        .call(
            new Message.Forward(
                MessagePackCodec.encode(CallMessage.of(call, minConfigurationVersion))),
            timeout)
        .thenApply(TcpPeerClient::answer);
  }

  private static PeerAnswer answer(Message message) {
    if (message instanceof Message.Forwarded forwarded) {
      return MessagePackCodec.decode(forwarded.answer(), AnswerMessage.class).answer();
    }
    throw unexpectedMessage(message);
  }

  /** Creates the handler for the calls that peers forward to this instance. */
  public static MessageHandler server(JobRequestHandler requestHandler, Executor eventLoop) {
    return message -> {
      if (!(message instanceof Message.Forward forward)) {
        return CompletableFuture.failedFuture(unexpectedMessage(message));
      }
      CallMessage callMessage = MessagePackCodec.decode(forward.call(), CallMessage.class);
      return CompletableFuture.supplyAsync(
              () ->
                  requestHandler.answerForPeer(
                      callMessage.call(), callMessage.leastConfiguration()),
              eventLoop)
          .thenCompose(answer -> answer)
          .thenApply(
              answer -> new Message.Forwarded(MessagePackCodec.encode(AnswerMessage.of(answer))));
    };
  }

  private static DragonflyturnException unexpectedMessage(Message message) {
    return new DragonflyturnException(
        ResultCode.FRAME_BROKEN,
        "Unexpected message "
            + message.getClass().getSimpleName()
            + " from a peer; check that both instances run compatible versions.");
  }
}
