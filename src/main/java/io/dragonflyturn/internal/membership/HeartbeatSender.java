package io.dragonflyturn.internal.membership;

import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.PeerStatus;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import java.util.List;
import java.util.function.Supplier;

/** Sends heartbeats to all configured peers. */
public final class HeartbeatSender {
  private final List<String> peers;
  private final PeerTable table;
  private final Supplier<PeerStatus> status;
  private final ProtocolClients clients;

  /**
   * Creates a sender.
   *
   * @param peers the addresses of the other replicas
   * @param table records the addresses that refuse connections
   * @param status supplies the current status of this replica
   * @param clients the protocol clients, by address
   */
  public HeartbeatSender(
      List<String> peers, PeerTable table, Supplier<PeerStatus> status, ProtocolClients clients) {
    this.peers = List.copyOf(peers);
    this.table = table;
    this.status = status;
    this.clients = clients;
  }

  /** Sends one heartbeat to every peer. */
  public void send() {
    Message heartbeat = new Message.Heartbeat(status.get());
    for (String peer : peers) {
      clients.at(peer).tell(heartbeat, () -> table.recordConnectionRefused(peer));
    }
  }
}
