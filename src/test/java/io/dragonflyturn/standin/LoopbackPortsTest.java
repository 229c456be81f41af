package io.dragonflyturn.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that {@link LoopbackPorts} avoids ephemeral ports and does not repeat a port. */
class LoopbackPortsTest {
  private static final int PORT_COUNT = 100;
  private static final int EPHEMERAL_SOCKET_COUNT = 1_500;

  @Test
  void should_not_choose_ephemeral_ports() throws IOException {
    List<Integer> chosen = LoopbackPorts.free(PORT_COUNT);

    Set<Integer> ephemeral = bindEphemeralPorts();

    assertThat(chosen).doesNotHaveDuplicates().noneMatch(ephemeral::contains);
  }

  @Test
  void should_not_choose_a_port_twice() {
    List<Integer> chosen = new ArrayList<>(LoopbackPorts.free(PORT_COUNT));
    chosen.addAll(LoopbackPorts.free(PORT_COUNT));

    assertThat(chosen).hasSize(2 * PORT_COUNT).doesNotHaveDuplicates();
  }

  private static Set<Integer> bindEphemeralPorts() throws IOException {
    Set<Integer> ports = new HashSet<>();
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int number = 0; number < EPHEMERAL_SOCKET_COUNT; number++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        ports.add(socket.getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }
}
