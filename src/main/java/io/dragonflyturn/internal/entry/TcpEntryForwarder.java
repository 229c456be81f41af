package io.dragonflyturn.internal.entry;

import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.request.EntryForwarder;
import io.dragonflyturn.internal.request.RequestCall;
import io.dragonflyturn.internal.request.RequestResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Forwards calls to other entries over the internal protocol. */
public final class TcpEntryForwarder implements EntryForwarder {
  /** The time allowed for the round trip, in addition to the deadline of the call. */
  private static final Duration TRANSIT_ALLOWANCE = Duration.ofMillis(500);

  private final ProtocolClients clients;

  /**
   * Creates a forwarder.
   *
   * @param clients connects to other entries
   */
  public TcpEntryForwarder(ProtocolClients clients) {
    this.clients = clients;
  }

  @Override
  public CompletableFuture<RequestResponse> forward(
      String incarnation, String address, RequestCall call) {
    byte[] content = MessagePackCodec.encode(new ForwardedCall(incarnation, call));
    Duration timeout = Duration.ofMillis(call.deadlineMillis()).plus(TRANSIT_ALLOWANCE);
    return clients
        .at(address)
        .call(new Message.Forward(content), timeout)
        .thenApply(TcpEntryForwarder::decodeResponse);
  }

  private static RequestResponse decodeResponse(Message message) {
    return MessagePackCodec.decode(((Message.Forwarded) message).answer(), RequestResponse.class);
  }

  /**
   * A forwarded call and the incarnation to which it is addressed.
   *
   * @param incarnation the incarnation that owns the request
   * @param call the call
   */
  record ForwardedCall(String incarnation, RequestCall call) {}
}
