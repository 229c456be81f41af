package io.dragonflyturn.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.request.ExecutorRequestTimer;
import io.dragonflyturn.internal.state.ControlRecord;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ApiHandlerTest {
  private static final Duration BODY_TIMEOUT = Duration.ofMillis(500);
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final String JOB =
      "{\"id\":\"j1\",\"shape\":{\"members\":1,\"acceleratorsPerMember\":1,\"span\":\"WORKER\"}";

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
  private final HttpClient caller = HttpClient.newHttpClient();
  private final FakeControlPlane control = new FakeControlPlane();
  private ApiServer server;

  @BeforeEach
  void start() {
    TokenDirectory tokens =
        new TokenDirectory(
            Map.of("kiosk", new Principal("kiosks", false), "root", new Principal("olga", true)));
    ApiHandler handler =
        new ApiHandler(
            tokens,
            List.of(
                new JobRoutes(control),
                new ConfigurationRoutes(control),
                new DomainRoutes(control, new StubEmergencyTakeOutService()),
                new OperatorRoutes(control)),
            BODY_TIMEOUT,
            new ExecutorRequestTimer(executor));
    server =
        new ApiServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), List.of(handler));
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    caller.close();
    server.close();
    executor.shutdownNow();
  }

  @Test
  void should_refuse_a_call_without_a_known_token() {
    assertThat(call("GET", "/v1/jobs", "wrong", "")).contains("\"code\":200");
    assertThat(control.queries()).isEmpty();
  }

  @Test
  void should_query_jobs_as_the_calling_customer() {
    call("GET", "/v1/jobs/j9", "kiosk", "");

    assertThat(control.queries()).containsExactly(new ControlQuery.JobStatus("j9", "kiosks"));
  }

  @Test
  void should_decode_the_names_in_paths() {
    call("GET", "/v1/jobs/night%20shift", "kiosk", "");

    assertThat(control.queries())
        .containsExactly(new ControlQuery.JobStatus("night shift", "kiosks"));
  }

  @Test
  void should_refuse_to_submit_for_another_customer() {
    String answer = call("POST", "/v1/jobs", "kiosk", JOB + ",\"customer\":\"brunner\"}");

    assertThat(answer).contains("\"code\":201");
    assertThat(control.proposals()).isEmpty();
  }

  @Test
  void should_submit_for_the_calling_customer() {
    assertThat(call("POST", "/v1/jobs", "kiosk", JOB + "}")).contains("\"jobId\":\"j1\"");
    assertThat(control.proposals())
        .singleElement()
        .extracting(record -> ((ControlRecord.JobSubmitted) record).job().customer())
        .isEqualTo("kiosks");
  }

  @Test
  void should_cancel_no_job_when_one_is_not_visible() {
    control.answerWith(ResultCode.UNKNOWN_JOB);

    assertThat(call("POST", "/v1/jobs/cancel", "kiosk", "{\"jobIds\":[\"j1\",\"other\"]}"))
        .contains("\"code\":108");
    assertThat(control.proposals()).isEmpty();
  }

  @Test
  void should_report_the_name_of_an_unknown_field() {
    assertThat(call("POST", "/v1/jobs", "kiosk", JOB + ",\"colour\":\"red\"}"))
        .contains("\"code\":101")
        .contains("colour");
  }

  @Test
  void should_refuse_malformed_json() {
    assertThat(call("POST", "/v1/jobs", "kiosk", "{\"id\":")).contains("\"code\":100");
  }

  @Test
  void should_refuse_an_impossible_shape() {
    String shape = "{\"shape\":{\"members\":129,\"acceleratorsPerMember\":1,\"span\":\"REGION\"}}";

    assertThat(call("POST", "/v1/jobs", "kiosk", shape)).contains("members is 129");
  }

  @Test
  void should_allow_only_operators_to_change_the_configuration() {
    assertThat(call("PUT", "/v1/configuration", "kiosk", "{}")).contains("\"code\":201");
    assertThat(call("POST", "/v1/domains/a/take-out", "kiosk", "")).contains("\"code\":201");
    assertThat(control.proposals()).isEmpty();
  }

  @Test
  void should_report_a_version_conflict_to_the_later_of_two_changes() {
    control.answerWith(ResultCode.VERSION_CONFLICT);
    String change =
        "{\"baseVersion\":7,\"configuration\":{\"customers\":[],\"failureDomains\":[],"
            + "\"instanceLabels\":{},\"rules\":[]}}";

    assertThat(call("PUT", "/v1/configuration", "root", change))
        .contains("\"code\":600")
        .doesNotContain("\"version\":8");
  }

  @Test
  void should_refuse_an_oversized_body() {
    String large = "x".repeat(ApiHandler.MAXIMUM_BODY_BYTES + 1);

    assertThat(call("POST", "/v1/jobs", "kiosk", large)).contains("\"code\":102");
  }

  @Test
  void should_deliver_the_refusal_to_a_caller_that_still_sends_an_oversized_body()
      throws Exception {
    assertThat(sendOversizedBodyInTwoParts()).contains("\"code\":102");
  }

  @Test
  void should_reject_a_body_that_arrives_too_slowly() throws IOException {
    assertThat(sendIncompleteBody()).contains("\"code\":106");
    assertThat(control.proposals()).isEmpty();
  }

  @Test
  void should_report_that_a_call_does_not_exist() {
    assertThat(call("GET", "/v1/nothing", "root", "")).contains("\"code\":113");
  }

  private String sendOversizedBodyInTwoParts() throws IOException, InterruptedException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      int bodyBytes = ApiHandler.MAXIMUM_BODY_BYTES + 1;
      String head =
          "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer kiosk\r\n"
              + "Content-Length: "
              + bodyBytes
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[bodyBytes / 2]);
      socket.getOutputStream().flush();
      Thread.sleep(100);
      socket.getOutputStream().write(new byte[bodyBytes - bodyBytes / 2]);
      socket.getOutputStream().flush();
      return readAnswer(socket);
    }
  }

  private String sendIncompleteBody() throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String incompleteRequest =
          "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer kiosk\r\n"
              + "Content-Length: 100\r\n\r\n{\"id\":";
      socket.getOutputStream().write(incompleteRequest.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      return readAnswer(socket);
    }
  }

  private static String readAnswer(Socket socket) throws IOException {
    byte[] answer = new byte[2_048];
    StringBuilder text = new StringBuilder();
    while (!text.toString().contains("\"code\"")) {
      int count = socket.getInputStream().read(answer);
      if (count < 0) {
        break;
      }
      text.append(new String(answer, 0, count, StandardCharsets.UTF_8));
    }
    return text.toString();
  }

  private String call(String method, String path, String token, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .header("Authorization", "Bearer " + token)
            .timeout(Duration.ofMillis(READ_TIMEOUT_MILLIS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return caller.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join().body();
  }

  private static final class StubEmergencyTakeOutService implements EmergencyTakeOutService {
    @Override
    public CompletableFuture<EmergencyOutcome> takeOut(ControlRecord.DomainServiceChanged record) {
      return CompletableFuture.completedFuture(new EmergencyOutcome(1, 0, false));
    }

    @Override
    public void release(String failureDomain) {
      throw new AssertionError("nothing to release");
    }
  }
}
