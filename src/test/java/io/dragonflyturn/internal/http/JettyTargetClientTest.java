package io.dragonflyturn.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.request.RequestAttempt;
import io.dragonflyturn.internal.request.TargetOperation;
import io.dragonflyturn.internal.request.TargetReply;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JettyTargetClientTest {
  private static final RequestAttempt ATTEMPT =
      new RequestAttempt("attempt-1", "request-1", TargetOperation.BOOKING, false, 2_000, "body");
  private static final int MAXIMUM_ANSWER_BYTES = 10_000;

  private final MetricRegistry metrics = new MetricRegistry();
  private final HttpClient http =
      TargetHttpClients.create(2, Duration.ofSeconds(2), Duration.ofSeconds(10));
  private final JettyTargetClient client =
      new JettyTargetClient(http, Duration.ofMillis(500), MAXIMUM_ANSWER_BYTES, metrics);

  @BeforeEach
  void startClient() throws Exception {
    http.start();
  }

  @AfterEach
  void stopClient() throws Exception {
    http.stop();
  }

  @Test
  void should_return_the_answer_that_repeats_both_identifiers() throws Exception {
    assertThat(replyTo(json(200, "attempt-1", "request-1", "answered", "booked")))
        .isEqualTo(new TargetReply.Answered("booked"));
  }

  @Test
  void should_discard_and_count_the_answer_to_another_attempt() throws Exception {
    assertThat(replyTo(json(200, "attempt-2", "request-1", "answered", "booked")))
        .isInstanceOf(TargetReply.AnswerLost.class);
    assertThat(metrics.meter("requests.answers.crossed").getCount()).isEqualTo(1);
  }

  @Test
  void should_discard_the_answer_to_another_request() throws Exception {
    assertThat(replyTo(json(200, "attempt-1", "request-2", "answered", "booked")))
        .isInstanceOf(TargetReply.AnswerLost.class);
  }

  @Test
  void should_accept_a_refusal_only_with_matching_identifiers() throws Exception {
    assertThat(replyTo(json(503, "attempt-1", "request-1", "refused", "busy")))
        .isInstanceOf(TargetReply.Refused.class);
    assertThat(replyTo("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
        .isInstanceOf(TargetReply.AnswerLost.class);
  }

  @Test
  void should_report_a_failed_run() throws Exception {
    assertThat(replyTo(json(200, "attempt-1", "request-1", "failed", "no battery")))
        .isInstanceOf(TargetReply.Failed.class);
  }

  @Test
  void should_report_a_truncated_answer_as_lost() throws Exception {
    String complete = json(200, "attempt-1", "request-1", "answered", "booked");

    assertThat(replyTo(complete.substring(0, complete.length() - 5)))
        .isInstanceOf(TargetReply.AnswerLost.class);
  }

  @Test
  void should_report_the_answer_as_lost_when_the_target_closes_the_connection() throws Exception {
    assertThat(replyTo("")).isInstanceOf(TargetReply.AnswerLost.class);
  }

  @Test
  void should_not_follow_a_redirect() throws Exception {
    assertThat(replyTo("HTTP/1.1 307 Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"))
        .isInstanceOf(TargetReply.AnswerLost.class);
  }

  @Test
  void should_report_that_no_connection_was_made() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }

    TargetReply reply = client.send("127.0.0.1:" + closedPort, ATTEMPT).get(10, TimeUnit.SECONDS);

    assertThat(reply).isInstanceOf(TargetReply.NotConnected.class);
  }

  @Test
  void should_report_the_answer_as_lost_when_the_target_never_responds() throws Exception {
    try (ServerSocket silentTarget = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      TargetReply reply =
          client
              .send("127.0.0.1:" + silentTarget.getLocalPort(), ATTEMPT)
              .get(20, TimeUnit.SECONDS);

      assertThat(reply).isInstanceOf(TargetReply.AnswerLost.class);
    }
  }

  /** Sends the attempt to a target that writes the given response and closes the connection. */
  private TargetReply replyTo(String response) throws Exception {
    try (ServerSocket target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      Thread.startVirtualThread(() -> answerOnce(target, response));
      return client.send("127.0.0.1:" + target.getLocalPort(), ATTEMPT).get(20, TimeUnit.SECONDS);
    }
  }

  private static void answerOnce(ServerSocket target, String response) {
    try (Socket connection = target.accept()) {
      readRequest(connection.getInputStream());
      connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      connection.getOutputStream().flush();
    } catch (IOException closed) {
      throw new AssertionError(closed);
    }
  }

  private static void readRequest(InputStream input) throws IOException {
    StringBuilder request = new StringBuilder();
    while (!request.toString().endsWith("}")) {
      int next = input.read();
      if (next < 0) {
        return;
      }
      request.append((char) next);
    }
  }

  private static String json(
      int status, String attemptId, String requestId, String replyStatus, String answer) {
    String body =
        "{\"attemptId\":\"%s\",\"requestId\":\"%s\",\"status\":\"%s\",\"answer\":\"%s\"}"
            .formatted(attemptId, requestId, replyStatus, answer);
    return "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(status, body.length(), body);
  }
}
