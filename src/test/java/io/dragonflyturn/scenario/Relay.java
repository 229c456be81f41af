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

/** Relays TCP connections on loopback, and cuts them one way or both. */
public final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int BACKLOG = 256;
  private static final long SILENCE_CHECK_MILLIS = 5;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger generation = new AtomicInteger();
  private volatile Mode mode = Mode.OPEN;
  private volatile long delayMillis;

  /** What passes through a relay. */
  public enum Mode {
    /** Everything. */
    OPEN,
    /** Calls pass, and answers are dropped. */
    ANSWERS_CUT,
    /** Nothing, while connections stay open; what was held back passes once the relay opens. */
    SILENT,
    /** Nothing, and connections are closed. */
    CUT
  }

  /** Starts a relay to a port on loopback. */
  public Relay(int targetPort) {
    try {
      listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
    target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the port that it listens at. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Changes what passes. */
  public void set(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT) {
      sockets.forEach(Relay::closeQuietly);
    }
  }

  /** Lets all open connections fall silent for good; new ones work. */
  public void silenceOpenConnections() {
    generation.incrementAndGet();
  }

  /** Delays each piece of data in both directions. */
  public void delay(long millis) {
    delayMillis = millis;
  }

  @Override
  public void close() {
    closeQuietly(listener);
    sockets.forEach(Relay::closeQuietly);
  }

  private void awaitSound() throws InterruptedException {
    while (mode == Mode.SILENT) {
      Thread.sleep(SILENCE_CHECK_MILLIS);
    }
  }

  private void accept() {
    try {
      while (!listener.isClosed()) {
        Socket caller = listener.accept();
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

  private void copy(Socket from, Socket to, boolean answers) {
    byte[] buffer = new byte[BUFFER_BYTES];
    int born = generation.get();
    try (from;
        to) {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        Thread.sleep(delayMillis);
        awaitSound();
        boolean passes = !answers || mode == Mode.OPEN;
        if (passes && born == generation.get()) {
          output.write(buffer, 0, count);
        }
      }
    } catch (IOException closed) {
      closeQuietly(to);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @SuppressWarnings("EmptyCatch") // What is being closed is of no use any more.
  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception ignored) {
      // Nothing is left to clean up.
    }
  }
}
