package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.ProtocolServer;
import io.dragonflyturn.internal.settings.SocketAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * Serves the internal protocol of a process. The address is bound before the services are created,
 * because they announce its port to peers; messages are accepted once the services exist.
 */
public final class InternalServer implements AutoCloseable {
  private final InetAddress host;
  private final ProtocolServer server;
  private volatile MessageHandler handler = InternalServer::notReady;

  /** Binds the address; no messages are accepted before {@link #serve}. */
  InternalServer(InetSocketAddress address, MetricRegistry metrics) {
    this.host = address.getAddress();
    this.server = new ProtocolServer(address, message -> handler.handle(message), metrics);
  }

  /** Returns the address with the bound port, such as {@code 127.0.0.1:7000}. */
  String address() {
    return SocketAddresses.text(new InetSocketAddress(host, server.port()));
  }

  /** Starts to accept messages and passes them to the handler. */
  void serve(MessageHandler messages) {
    handler = messages;
    server.start();
  }

  private static CompletableFuture<Message> notReady(Message message) {
    return CompletableFuture.failedFuture(
        new DragonflyturnException(
            ResultCode.PEER_UNREACHABLE, "The process is still starting; retry later."));
  }

  @Override
  public void close() {
    server.close();
  }
}
