package io.dragonflyturn.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports for processes that must know each other's addresses before they start.
 *
 * <p>The ports lie below the usual ephemeral port range, so that the operating system does not
 * assign one to another socket before the process that needs it has bound it.
 */
public final class LoopbackPorts {
  private static final int FIRST_PORT = 12_000;
  private static final int PORT_COUNT = 20_000;

  /** Starts at an offset derived from the process id, so that parallel processes rarely collide. */
  private static final AtomicInteger NEXT_INDEX =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

  private LoopbackPorts() {}

  /**
   * Returns distinct ports that are free at the time of the call. A port is not returned again in
   * this process until the whole range has been tried. Another process may still bind a returned
   * port before the caller does.
   *
   * @throws IllegalStateException if too few ports of the range are free
   */
  public static List<Integer> free(int count) {
    List<Integer> ports = new ArrayList<>();
    for (int tried = 0; tried < PORT_COUNT && ports.size() < count; tried++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        ports.add(port);
      }
    }
    if (ports.size() < count) {
      throw new IllegalStateException("Too few free ports on the loopback address");
    }
    return ports;
  }

  private static boolean isFree(int port) {
    try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return probe.isBound();
    } catch (IOException unavailable) {
      return false;
    }
  }
}
