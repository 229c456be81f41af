package io.dragonflyturn.internal.entry;

import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.request.EntryForwarder;
import io.dragonflyturn.internal.request.RequestResponse;
import io.dragonflyturn.internal.request.RequestCall;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Passes calls on to other entries over the inner protocol. */
public final class TcpEntryForwarder implements EntryForwarder {
  /** The time for the way there and back, beyond the time that the caller allows. */
  private static final Duration TRANSIT = Duration.ofMillis(500);

  private final ProtocolClients clients;

  /** Creates a forwarder. */
  public TcpEntryForwarder(ProtocolClients clients) {
    this.clients = clients;
  }

  @Override
  public CompletableFuture<RequestResponse> forward(
      String incarnation, String address, RequestCall call) {
    byte[] content = MessagePackCodec.encode(new ForwardedCall(incarnation, call));
    Duration timeout = Duration.ofMillis(call.deadlineMillis()).plus(TRANSIT);
    return clients
        .at(address)
        .call(new Message.Forward(content), timeout)
        .thenApply(TcpEntryForwarder::answer);
  }

  private static RequestResponse answer(Message message) {
    return MessagePackCodec.decode(((Message.Forwarded) message).answer(), RequestResponse.class);
  }

  /**
   * A call with the incarnation that it is meant for.
   *
   * @param incarnation the incarnation that owns the request
   * @param call the call
   */
  record ForwardedCall(String incarnation, RequestCall call) {}
}
