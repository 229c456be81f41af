package io.dragonflyturn.internal.protocol;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;

/** Accepts connections of peers and answers their messages, each on a virtual thread. */
public final class ProtocolServer implements AutoCloseable {
  /** The most connections that are open at the same time. */
  private static final int MAXIMUM_CONNECTIONS = 256;

  /** How long a peer may stay silent before its connection is closed, in milliseconds. */
  private static final int SILENCE_LIMIT_MILLIS = 60_000;

  /** The longest wait for the accepting thread when the server is closed, in milliseconds. */
  private static final int ACCEPT_END_LIMIT_MILLIS = 5_000;

  private final ServerSocket serverSocket;
  private final MessageHandler handler;
  private final LongAdder bytes;
  private final Counter broken;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<FrameStream> connections = ConcurrentHashMap.newKeySet();
  private volatile Future<?> accepting = CompletableFuture.completedFuture(null);

  /**
   * Opens the listening socket; {@link #start} begins to accept.
   *
   * @throws UncheckedIOException where the address cannot be bound
   */
  public ProtocolServer(InetSocketAddress address, MessageHandler handler, MetricRegistry metrics) {
    this.handler = handler;
    this.bytes = ProtocolMetrics.bytes(metrics);
    this.broken = metrics.counter("protocol.frames.broken");
    try {
      serverSocket = new ServerSocket();
      serverSocket.setReuseAddress(true);
      serverSocket.bind(address);
    } catch (IOException failure) {
      throw new UncheckedIOException("Cannot listen on " + address, failure);
    }
  }

  /** Begins to accept connections. */
  public void start() {
    accepting = threads.submit(this::acceptLoop);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return serverSocket.getLocalPort();
  }

  private void acceptLoop() {
    while (!serverSocket.isClosed()) {
      try {
        Socket socket = serverSocket.accept();
        threads.execute(() -> serve(socket));
      } catch (IOException closed) {
        // Closing the server socket ends the loop; any other failure concerns one connection.
      }
    }
  }

  private void serve(Socket socket) {
    try (FrameStream stream = open(socket)) {
      connections.add(stream);
      try {
        readLoop(stream);
      } catch (DragonflyturnException refused) {
        broken.inc();
      } finally {
        connections.remove(stream);
      }
    } catch (IOException ended) {
      // The peer went away, which its next connection mends.
    }
  }

  private FrameStream open(Socket socket) throws IOException {
    socket.setSoTimeout(SILENCE_LIMIT_MILLIS);
    if (connections.size() >= MAXIMUM_CONNECTIONS) {
      socket.close();
      throw new IOException("Too many connections");
    }
    return new FrameStream(socket, bytes);
  }

  private void readLoop(FrameStream stream) throws IOException {
    while (true) {
      Frame frame = stream.read();
      threads.execute(() -> answer(stream, frame));
    }
  }

  private void answer(FrameStream stream, Frame frame) {
    handler
        .handle(frame.message())
        .exceptionally(ProtocolServer::failureMessage)
        .thenAccept(message -> reply(stream, frame, message));
  }

  private static void reply(FrameStream stream, Frame frame, Message message) {
    if (frame.correlation() == 0) {
      return;
    }
    try {
      stream.write(new Frame(frame.correlation(), true, message));
    } catch (IOException gone) {
      stream.close();
    }
  }

  private static Message failureMessage(Throwable failure) {
    DragonflyturnException known = Failures.toDragonflyturnException(failure);
    return new Message.Failed(known.code(), String.valueOf(known.getMessage()));
  }

  /** Closes all connections; the port is free for another server when this returns. */
  @Override
  public void close() {
    try {
      serverSocket.close();
    } catch (IOException ignored) {
      // A server socket that cannot be closed has no further use.
    }
    awaitAcceptEnd();
    connections.forEach(FrameStream::close);
    threads.shutdownNow();
  }

  /** The system keeps the port until the thread that accepts has left its call. */
  private void awaitAcceptEnd() {
    try {
      accepting.get(ACCEPT_END_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException ignored) {
      // The port may stay taken for a moment; nothing else depends on it.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
