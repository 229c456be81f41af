package io.dragonflyturn.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.ExecutorRequestTimer;
import io.dragonflyturn.internal.request.RequestService;
import io.dragonflyturn.internal.request.SingleEntry;
import io.dragonflyturn.internal.request.TargetClient;
import io.dragonflyturn.internal.request.TargetReply;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestsHandlerTest {
  private static final int MAXIMUM_BODY_BYTES = 1_000;
  private static final Duration BODY_TIMEOUT = Duration.ofMillis(300);
  private static final String READING =
      "{\"requestId\":\"r1\",\"kind\":\"reading\",\"urgency\":\"NORMAL\","
          + "\"deadlineMillis\":5000,\"idempotent\":true,\"issued\":false,\"body\":\"x\"}";

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
  private final HttpClient caller = HttpClient.newHttpClient();
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);

  @BeforeEach
  void startServer() throws Exception {
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    ExecutorRequestTimer timer = new ExecutorRequestTimer(executor);
    TokenDirectory tokens =
        new TokenDirectory(
            Map.of("token", new Principal("kiosks", false), "root", new Principal("op", true)));
    server.setHandler(
        new RequestsHandler(service(timer), tokens, timer, MAXIMUM_BODY_BYTES, BODY_TIMEOUT));
    server.start();
  }

  @AfterEach
  void stopServer() throws Exception {
    server.stop();
    executor.shutdownNow();
    caller.close();
  }

  @Test
  void should_answer_a_request() throws Exception {
    HttpResponse<String> response = post("/v1/requests", "token", READING);

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).contains("\"answer\":\"done r1\"", "\"requestId\":\"r1\"");
  }

  @Test
  void should_issue_identifiers_that_requests_can_use() throws Exception {
    String identifiers = post("/v1/request-ids", "token", "{\"count\":1}").body();
    String identifier = identifiers.replaceAll(".*\\[\"([^\"]+)\"].*", "$1");
    String booking =
        READING
            .replace("r1", identifier)
            .replace("true", "false")
            .replace("issued\":false", "issued\":true");

    assertThat(post("/v1/requests", "token", booking).body()).contains("done " + identifier);
  }

  @Test
  void should_refuse_a_caller_without_a_token() throws Exception {
    assertCode(post("/v1/requests", "wrong", READING), ResultCode.UNAUTHENTICATED);
  }

  @Test
  void should_refuse_an_operator() throws Exception {
    assertCode(post("/v1/requests", "root", READING), ResultCode.FORBIDDEN);
  }

  @Test
  void should_report_the_name_of_an_unknown_field() throws Exception {
    HttpResponse<String> response =
        post("/v1/requests", "token", READING.replace("\"body\"", "\"boddy\""));

    assertCode(response, ResultCode.UNKNOWN_FIELD);
    assertThat(response.body()).contains("boddy");
  }

  @Test
  void should_refuse_malformed_input() throws Exception {
    assertCode(post("/v1/requests", "token", "{\"requestId\":"), ResultCode.MALFORMED_INPUT);
    assertCode(
        post("/v1/requests", "token", READING.replace("reading", "dance")),
        ResultCode.MALFORMED_INPUT);
    assertCode(
        post("/v1/requests", "token", READING.replace("5000", "0")), ResultCode.MALFORMED_INPUT);
    assertCode(
        post("/v1/requests", "token", READING.replace("true", "false")),
        ResultCode.MALFORMED_INPUT);
    assertCode(post("/v1/request-ids", "token", "{\"count\":0}"), ResultCode.MALFORMED_INPUT);
  }

  @Test
  void should_refuse_a_body_that_is_too_large() throws Exception {
    assertCode(
        post("/v1/requests", "token", " ".repeat(MAXIMUM_BODY_BYTES + 1)),
        ResultCode.INPUT_TOO_LARGE);
  }

  @Test
  void should_refuse_a_chunked_body_that_is_too_large() throws Exception {
    String chunk = " ".repeat(1_200);

    assertThat(sendRaw("Transfer-Encoding: chunked", "4B0\r\n" + chunk + "\r\n0\r\n\r\n"))
        .contains("\"code\":" + ResultCode.INPUT_TOO_LARGE.number());
  }

  @Test
  void should_reject_a_body_that_arrives_too_slowly() throws Exception {
    assertThat(sendRaw("Content-Length: 100", "{\"requestId\":"))
        .contains("408", "\"code\":" + ResultCode.SLOW_SENDER.number());
  }

  private static void assertCode(HttpResponse<String> response, ResultCode code) {
    assertThat(response.body()).contains("\"code\":" + code.number() + ",");
    assertThat(response.statusCode()).isEqualTo(code.httpStatus());
  }

  private HttpResponse<String> post(String path, String token, String body) throws Exception {
    return caller.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + connector.getLocalPort() + path))
            .header("Authorization", "Bearer " + token)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .timeout(Duration.ofSeconds(20))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Sends a possibly incomplete request over a socket and returns the response up to the end of its
   * body.
   */
  private String sendRaw(String header, String body) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort())) {
      socket.setSoTimeout(20_000);
      String head =
          "POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token\r\n"
              + header
              + "\r\n\r\n";
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
      StringBuilder answer = new StringBuilder();
      int next = socket.getInputStream().read();
      while (next >= 0 && !answer.toString().endsWith("}")) {
        answer.append((char) next);
        next = answer.toString().endsWith("}") ? -1 : socket.getInputStream().read();
      }
      return answer.toString();
    }
  }

  private static RequestService service(ExecutorRequestTimer timer) {
    TargetClient target =
        (address, attempt) ->
            CompletableFuture.completedFuture(
                new TargetReply.Answered("done " + attempt.requestId()));
    return SingleEntry.service(target, timer);
  }
}
