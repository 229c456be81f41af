package io.dragonflyturn.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MetricsHandlerTest {
  private final AtomicReference<Health> health = new AtomicReference<>(Health.OK);
  private final HttpClient caller = HttpClient.newHttpClient();
  private final ApiServer server =
      new ApiServer(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          List.of(new MetricsHandler(new MetricRegistry(), health::get)));

  @BeforeEach
  void start() {
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  @Test
  void should_return_200_when_the_process_accepts_calls() throws Exception {
    assertThat(requestHealth().statusCode()).isEqualTo(200);
  }

  @Test
  void should_return_503_with_the_state_when_the_process_does_not_accept_calls() throws Exception {
    health.set(Health.STARTING);

    HttpResponse<String> answer = requestHealth();

    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.body()).contains("starting");
  }

  private HttpResponse<String> requestHealth() throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + server.port() + "/health");
    return caller.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }
}
