package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a daemon, based on Jetty with a small thread pool. */
public final class ApiServer implements AutoCloseable {
  /**
   * The maximum number of threads. Handlers do not block, so a few threads can serve all
   * connections.
   */
  private static final int MAXIMUM_THREADS = 12;

  private static final int MINIMUM_THREADS = 4;

  /** The idle timeout of a connection in milliseconds. */
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  private final Server server;
  private final ServerConnector connector;

  /** Creates a server for an address with handlers that are tried in order. */
  public ApiServer(InetSocketAddress address, List<Handler> handlers) {
    QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
    threads.setName("http");
    threads.setDaemon(true);
    server = new Server(threads);
    connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration()));
    connector.setHost(address.getAddress().getHostAddress());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    connector.setShutdownIdleTimeout(Duration.ofMillis(200).toMillis());
    server.addConnector(connector);
    server.setHandler(new Handler.Sequence(handlers));
  }

  private static HttpConfiguration configuration() {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    return configuration;
  }

  /**
   * Binds the address and starts to serve.
   *
   * @throws DragonflyturnException if the address cannot be bound
   */
  public void start() {
    try {
      server.start();
    } catch (Exception failure) {
      throw new DragonflyturnException(
          ResultCode.INVALID_SETTINGS,
          "The HTTP server cannot listen on "
              + connector.getHost()
              + ":"
              + connector.getPort()
              + "; choose a free address.",
          failure);
    }
  }

  /** Returns the address that the server listens on, such as {@code 127.0.0.1:8080}. */
  public String address() {
    return connector.getHost() + ":" + port();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return connector.getLocalPort();
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }
}
