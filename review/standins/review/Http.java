package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Calls with one connection each, as the platform's balancer spreads them. */
final class Http {
  private Http() {}

  /** An answer; the status is 0 if there was none. */
  record Response(int status, String retryAfter, String body) {}

  static Response call(
      String ip,
      int port,
      String method,
      String path,
      String host,
      String key,
      String body,
      int timeoutMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder request = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
      request.append("Host: ").append(host.isEmpty() ? ip : host).append("\r\n");
      request.append("Connection: close\r\nX-Deadline-Ms: 3000\r\n");
      if (!key.isEmpty()) {
        request.append("Authorization: Token ").append(key).append("\r\n");
      }
      if (content.length > 0) {
        request.append("Content-Type: application/json\r\n");
      }
      request.append("Content-Length: ").append(content.length).append("\r\n\r\n");
      socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().write(content);
      InputStream input = socket.getInputStream();
      String answer = new String(input.readAllBytes(), StandardCharsets.UTF_8);
      if (!answer.startsWith("HTTP/1.1 ")) {
        return new Response(0, "", "");
      }
      int end = answer.indexOf("\r\n\r\n");
      String head = answer.substring(0, Math.max(0, end));
      String retryAfter =
          head.replaceAll("(?is).*\\r\\nretry-after: ([^\\r]*).*", "$1").equals(head)
              ? ""
              : head.replaceAll("(?is).*\\r\\nretry-after: ([^\\r]*).*", "$1");
      return new Response(
          Integer.parseInt(answer.substring(9, 12)), retryAfter, answer.substring(end + 4));
    } catch (IOException unanswered) {
      return new Response(0, "", "");
    }
  }
}
