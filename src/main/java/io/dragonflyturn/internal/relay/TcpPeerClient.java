package io.dragonflyturn.internal.relay;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.intake.CallForwarder;
import io.dragonflyturn.internal.intake.ApiCall;
import io.dragonflyturn.internal.intake.JobRequestHandler;
import io.dragonflyturn.internal.intake.PeerAnswer;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Passes calls between instances over the protocol that they speak with each other. */
public final class TcpPeerClient implements CallForwarder.PeerClient {
  private final ProtocolClients clients;

  /** Creates calls that use a holder of connections. */
  public TcpPeerClient(ProtocolClients clients) {
    this.clients = clients;
  }

  @Override
  public CompletableFuture<PeerAnswer> call(
      String address, ApiCall call, long leastConfiguration, Duration timeout) {
    return clients
        .at(address)
        .call(
            new Message.Forward(MessagePackCodec.encode(CallMessage.of(call, leastConfiguration))),
            timeout)
        .thenApply(TcpPeerClient::answer);
  }

  private static PeerAnswer answer(Message message) {
    if (message instanceof Message.Forwarded forwarded) {
      return MessagePackCodec.decode(forwarded.answer(), AnswerMessage.class).answer();
    }
    throw unexpected(message);
  }

  /** Returns what answers the calls that peers pass on. */
  public static MessageHandler server(JobRequestHandler desk, Executor loop) {
    return message -> {
      if (!(message instanceof Message.Forward forward)) {
        return CompletableFuture.failedFuture(unexpected(message));
      }
      CallMessage form = MessagePackCodec.decode(forward.call(), CallMessage.class);
      return CompletableFuture.supplyAsync(
              () -> desk.answerForPeer(form.call(), form.leastConfiguration()), loop)
          .thenCompose(answer -> answer)
          .thenApply(
              answer -> new Message.Forwarded(MessagePackCodec.encode(AnswerMessage.of(answer))));
    };
  }

  private static DragonflyturnException unexpected(Message message) {
    return new DragonflyturnException(
        ResultCode.FRAME_BROKEN,
        "A peer sent " + message.getClass().getSimpleName() + "; check both ends' versions.");
  }
}
