package io.dragonflyturn.standin;

import io.dragonflyturn.DragonflyturnException;
import java.nio.ByteBuffer;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server on the loopback address with a separate port for each service. */
public final class StandinServer implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAXIMUM_THREADS = 64;
  private static final int MINIMUM_THREADS = 4;
  private static final int ACCEPT_QUEUE = 1024;

  private final ExecutorService virtualThreads = Executors.newVirtualThreadPerTaskExecutor();
  private final Server server;

  /** Handles the HTTP calls to one port. */
  public interface Service {
    /** Handles a call and returns its response; may block. */
    StandinAnswer serve(String method, String path, Request request, byte[] body) throws Exception;
  }

  /** Creates a server without services; {@link #add} adds them. */
  public StandinServer() {
    QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
    threads.setVirtualThreadsExecutor(virtualThreads);
    server = new Server(threads);
    server.setHandler(new ServiceHandler());
  }

  /**
   * Adds a service. Must be called before {@link #start}.
   *
   * @param port the port of the service; 0 selects a free port
   * @return the connector, which has the actual port after the start
   */
  public ServerConnector add(int port, Service service) {
    ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory());
    connector.setHost(LOOPBACK);
    connector.setPort(port);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    connector.addBean(new ServiceHolder(service));
    server.addConnector(connector);
    return connector;
  }

  /** Starts listening on all ports. */
  public void start() {
    try {
      server.start();
    } catch (Exception failure) {
      throw new IllegalStateException("Failed to start the stand-in HTTP server", failure);
    }
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception failure) {
      throw new IllegalStateException("Failed to stop the stand-in HTTP server", failure);
    } finally {
      virtualThreads.shutdownNow();
    }
  }

  private record ServiceHolder(Service service) {}

  private static final class ServiceHandler extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      ServerConnector connector = (ServerConnector) request.getConnectionMetaData().getConnector();
      Service service = connector.getBean(ServiceHolder.class).service();
      byte[] body = BufferUtil.toArray(Content.Source.asByteBuffer(request));
      StandinAnswer answer = answer(service, request, body);
      byte[] content = answer.content();
      if (content == null) {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new java.io.EOFException("Fault injection dropped the response"));
        return true;
      }
      response.setStatus(answer.status());
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
      response.write(true, ByteBuffer.wrap(content), callback);
      return true;
    }

    private static StandinAnswer answer(Service service, Request request, byte[] body)
        throws Exception {
      try {
        return service.serve(request.getMethod(), request.getHttpURI().getPath(), request, body);
      } catch (DragonflyturnException invalid) {
        return StandinAnswer.error(400, String.valueOf(invalid.getMessage()));
      }
    }
  }
}
