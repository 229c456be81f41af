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

/** Accepts connections from peers and handles each of their messages on a virtual thread. */
public final class ProtocolServer implements AutoCloseable {
  /** The maximum number of open connections. */
  private static final int MAXIMUM_CONNECTIONS = 256;

  /** The time without data from a peer after which its connection is closed, in milliseconds. */
  private static final int READ_TIMEOUT_MILLIS = 60_000;

  /** The maximum wait for the accept loop to end when the server is closed, in milliseconds. */
  private static final int ACCEPT_LOOP_END_TIMEOUT_MILLIS = 5_000;

  private final ServerSocket serverSocket;
  private final MessageHandler handler;
  private final LongAdder transferredBytes;
  private final Counter brokenFrames;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<FrameStream> connections = ConcurrentHashMap.newKeySet();
  private volatile Future<?> acceptLoopEnd = CompletableFuture.completedFuture(null);

  /**
   * Binds the server socket. Connections are accepted after {@link #start}.
   *
   * @throws UncheckedIOException if the address cannot be bound
   */
  public ProtocolServer(InetSocketAddress address, MessageHandler handler, MetricRegistry metrics) {
    this.handler = handler;
    this.transferredBytes = ProtocolMetrics.transferredBytes(metrics);
    this.brokenFrames = metrics.counter("protocol.frames.broken");
    try {
      serverSocket = new ServerSocket();
      serverSocket.setReuseAddress(true);
      serverSocket.bind(address);
    } catch (IOException failure) {
      throw new UncheckedIOException("Cannot listen on " + address, failure);
    }
  }

  /** Starts to accept connections. */
  public void start() {
    acceptLoopEnd = executor.submit(this::acceptLoop);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return serverSocket.getLocalPort();
  }

  private void acceptLoop() {
    while (!serverSocket.isClosed()) {
      try {
        Socket socket = serverSocket.accept();
        executor.execute(() -> serve(socket));
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
      } catch (DragonflyturnException brokenFrame) {
        brokenFrames.inc();
      } finally {
        connections.remove(stream);
      }
    } catch (IOException ended) {
      // The connection ended; the peer reconnects when it needs to.
    }
  }

  private FrameStream open(Socket socket) throws IOException {
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    if (connections.size() >= MAXIMUM_CONNECTIONS) {
      socket.close();
      throw new IOException("Too many connections");
    }
    return new FrameStream(socket, transferredBytes);
  }

  private void readLoop(FrameStream stream) throws IOException {
    while (true) {
      Frame frame = stream.read();
      executor.execute(() -> answer(stream, frame));
    }
  }

  private void answer(FrameStream stream, Frame frame) {
    CompletableFuture.completedFuture(frame.message())
        .thenCompose(handler::handle)
        .exceptionally(ProtocolServer::failureMessage)
        .thenAccept(message -> reply(stream, frame, message));
  }

  private static void reply(FrameStream stream, Frame frame, Message message) {
    if (frame.correlation() == 0) {
      return;
    }
    try {
      stream.write(new Frame(frame.correlation(), true, message));
    } catch (IOException connectionLost) {
      stream.close();
    }
  }

  private static Message failureMessage(Throwable failure) {
    DragonflyturnException known = Failures.toDragonflyturnException(failure);
    return new Message.Failed(known.code(), String.valueOf(known.getMessage()));
  }

  /**
   * Stops accepting and closes all connections. The port can be bound again when this method
   * returns.
   */
  @Override
  public void close() {
    try {
      serverSocket.close();
    } catch (IOException ignored) {
      // The server socket is not used after a failed close.
    }
    awaitAcceptEnd();
    connections.forEach(FrameStream::close);
    executor.shutdownNow();
  }

  /**
   * Waits for the accept loop to end, because the operating system holds the port until the
   * accepting thread has returned from its call.
   */
  private void awaitAcceptEnd() {
    try {
      acceptLoopEnd.get(ACCEPT_LOOP_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException ignored) {
      // The port may stay in use a little longer; nothing else depends on it.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
