import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.net.URLDecoder;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server on a port of 127.0.0.1. */
final class Http implements AutoCloseable {
  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  /** A response; a null body drops the connection without one. */
  record Response(int status, byte[] body, String type) {
    static Response json(int status, Object value) {
      return new Response(status, Json.write(value), "application/json");
    }

    static Response lost() {
      return new Response(0, null, "");
    }
  }

  /** Answers requests. */
  interface Handler {
    Response answer(String path, Map<String, String> query, HttpExchange exchange, byte[] body)
        throws Exception;
  }

  private final HttpServer server;

  Http(Handler handler) {
    this(handler, 0);
  }

  Http(Handler handler, int port) {
    try {
      server =
          HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> serve(handler, exchange));
    server.start();
  }

  private static void serve(Handler handler, HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Response response;
      try {
        response =
            handler.answer(
                exchange.getRequestURI().getPath(),
                query(exchange.getRequestURI().getRawQuery()),
                exchange,
                body);
      } catch (Exception failure) {
        failure.printStackTrace();
        response = Response.json(500, Map.of("error", String.valueOf(failure)));
      }
      if (response.body() == null) {
        return;
      }
      exchange.getResponseHeaders().set("Content-Type", response.type());
      exchange.sendResponseHeaders(
          response.status(), response.body().length == 0 ? -1 : response.body().length);
      exchange.getResponseBody().write(response.body());
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> parameters = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        String[] pair = part.split("=", 2);
        parameters.put(
            pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
