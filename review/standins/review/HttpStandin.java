package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;

/**
 * An HTTP server on a free loopback port. While its path is cut, requests are neither processed nor
 * answered, and their connections stay open without a reset.
 */
final class HttpStandin implements AutoCloseable {
  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
  }

  private final HttpServer server;

  /** An answer; an answer with status 0 is never sent. */
  record Answer(int status, String contentType, byte[] body) {
    static final Answer NONE = new Answer(0, "", new byte[0]);

    static Answer json(int status, String body) {
      return new Answer(status, "application/json", body.getBytes(StandardCharsets.UTF_8));
    }

    static Answer bytes(byte[] body) {
      return new Answer(200, "application/octet-stream", body);
    }
  }

  /** A request. */
  record Call(
      String method, String path, Map<String, String> query, String target, byte[] body) {}

  /** Processes requests. */
  interface Handler {
    Answer handle(Call call) throws Exception;
  }

  /**
   * Starts the server.
   *
   * @param cut whether the path between the clients of this port and the server is cut
   */
  HttpStandin(BooleanSupplier cut, Handler handler) {
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> serve(exchange, cut, handler));
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  private static void serve(HttpExchange exchange, BooleanSupplier cut, Handler handler)
      throws IOException {
    if (cut.getAsBoolean()) {
      return;
    }
    byte[] body = exchange.getRequestBody().readAllBytes();
    Answer answer;
    try {
      answer =
          handler.handle(
              new Call(
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().getPath(),
                  query(exchange.getRequestURI().getRawQuery()),
                  exchange.getRequestHeaders().getFirst("X-Target-Instance"),
                  body));
    } catch (Exception failure) {
      answer = Answer.json(400, "{}");
    }
    if (answer.status == 0 || cut.getAsBoolean()) {
      return;
    }
    exchange.getResponseHeaders().set("Content-Type", answer.contentType);
    exchange.sendResponseHeaders(answer.status, answer.body.length == 0 ? -1 : answer.body.length);
    exchange.getResponseBody().write(answer.body);
    exchange.close();
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> values = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        values.put(
            pair.substring(0, equals),
            java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
