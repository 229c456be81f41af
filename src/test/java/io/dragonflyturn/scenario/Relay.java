package io.dragonflyturn.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** TCP proxy on loopback that injects network faults between two processes. */
public final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int ACCEPT_BACKLOG = 256;
  private static final long STALL_POLL_MILLIS = 5;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger generation = new AtomicInteger();
  private final AtomicInteger acceptedConnections = new AtomicInteger();
  private volatile Mode mode = Mode.OPEN;
  private volatile long delayMillis;

  /** How the relay treats connections and data. */
  public enum Mode {
    /** Forwards everything. */
    OPEN,
    /** Forwards calls and drops responses. */
    ANSWERS_CUT,
    /** Holds all data back on open connections, and forwards it when the mode changes. */
    SILENT,
    /** Closes all connections, including new ones. */
    CUT
  }

  /** Starts a relay that forwards connections to a port on loopback. */
  public Relay(int targetPort) {
    try {
      listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
    target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the port on which the relay listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Returns how many connections callers have opened. */
  public int acceptedConnections() {
    return acceptedConnections.get();
  }

  /** Changes the mode. */
  public void set(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT) {
      sockets.forEach(Relay::closeQuietly);
    }
  }

  /** Drops all further data of the connections that are open now; new ones work normally. */
  public void silenceOpenConnections() {
    generation.incrementAndGet();
  }

  /** Delays each chunk of data in both directions by the given time in milliseconds. */
  public void delay(long millis) {
    delayMillis = millis;
  }

  @Override
  public void close() {
    closeQuietly(listener);
    sockets.forEach(Relay::closeQuietly);
  }

  private void awaitNotStalled() throws InterruptedException {
    while (mode == Mode.SILENT) {
      Thread.sleep(STALL_POLL_MILLIS);
    }
  }

  private void accept() {
    try {
      while (!listener.isClosed()) {
        Socket caller = listener.accept();
        acceptedConnections.incrementAndGet();
        if (mode == Mode.CUT) {
          caller.close();
        } else {
          Thread.ofVirtual().start(() -> connect(caller));
        }
      }
    } catch (IOException closed) {
      closeQuietly(listener);
    }
  }

  private void connect(Socket caller) {
    Socket callee = new Socket();
    sockets.add(caller);
    sockets.add(callee);
    try {
      callee.connect(target);
    } catch (IOException refused) {
      closeQuietly(caller);
      return;
    }
    Thread.ofVirtual().start(() -> copy(caller, callee, false));
    copy(callee, caller, true);
    sockets.remove(caller);
    sockets.remove(callee);
  }

  private void copy(Socket from, Socket to, boolean responses) {
    byte[] buffer = new byte[BUFFER_BYTES];
    int createdInGeneration = generation.get();
    try (from;
        to) {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        Thread.sleep(delayMillis);
        awaitNotStalled();
        boolean forwards = !responses || mode == Mode.OPEN;
        if (forwards && createdInGeneration == generation.get()) {
          output.write(buffer, 0, count);
        }
      }
    } catch (IOException closed) {
      closeQuietly(to);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @SuppressWarnings("EmptyCatch") // A failure to close needs no handling.
  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception ignored) {
      // The resource is not used after this call.
    }
  }
}
