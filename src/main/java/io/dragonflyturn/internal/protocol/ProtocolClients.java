package io.dragonflyturn.internal.protocol;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Creates and caches one {@link ProtocolClient} for each peer address. */
public final class ProtocolClients implements AutoCloseable {
  private final MetricRegistry metrics;
  private final Map<String, ProtocolClient> clients = new ConcurrentHashMap<>();

  /** Creates an empty cache of clients. */
  public ProtocolClients(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /** Returns the client for an address such as {@code 127.0.0.1:7000}. */
  public ProtocolClient at(String address) {
    return clients.computeIfAbsent(address, text -> new ProtocolClient(parse(text), metrics));
  }

  /**
   * Returns the socket address for a text of the form {@code IP:PORT}.
   *
   * @throws IllegalArgumentException if the text does not have that form
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(
          "'" + address + "' is not a valid address; use IP:PORT, for example 127.0.0.1:7000");
    }
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }

  @Override
  public void close() {
    clients.values().forEach(ProtocolClient::close);
  }
}
