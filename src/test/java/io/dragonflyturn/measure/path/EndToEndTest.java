package io.dragonflyturn.measure.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.JobStatus;
import io.dragonflyturn.Request;
import io.dragonflyturn.RequestAnswer;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** End-to-end test with 7 entries, 7 schedulers, the platform stand-in, and 30 workers. */
class EndToEndTest {
  private static final int INSTANCES = 7;
  private static final int WORKERS = 30;
  private static final int REQUESTS_PER_ENTRY = 20;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration LIMIT = Duration.ofSeconds(90);

  @Test
  void should_answer_every_request_and_finish_every_job() throws InterruptedException {
    try (PathDeployment deployment = new PathDeployment(INSTANCES, WORKERS, true)) {
      try (Dragonflyturn operator = client(deployment.entries(), PathDeployment.OPERATOR_TOKEN);
          Dragonflyturn customer = client(deployment.entries(), PathDeployment.CUSTOMER_TOKEN)) {
        PathMain.configure(operator);
        List<String> jobs = submit(customer);
        for (URI entry : deployment.entries()) {
          sendTo(entry);
        }
        for (String job : jobs) {
          assertThat(awaitEnd(customer, job).endName()).isEqualTo("OK");
        }
      }
    }
  }

  private static List<String> submit(Dragonflyturn customer) {
    List<String> jobs = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      int members = index % 4 == 0 ? 8 : 1;
      jobs.add(
          customer.submit(
              new JobSpecification(
                  "whole-path-" + index,
                  "derwent",
                  new Shape(members, 2, Span.REGION),
                  Urgency.NORMAL,
                  true,
                  true,
                  1,
                  Map.of("work-seconds", "0.5"))));
    }
    return jobs;
  }

  private static void sendTo(URI entry) throws InterruptedException {
    try (Dragonflyturn client = client(List.of(entry), PathDeployment.CUSTOMER_TOKEN)) {
      awaitSlots(client);
      List<String> issued = client.issueRequestIds(REQUESTS_PER_ENTRY);
      for (int index = 0; index < REQUESTS_PER_ENTRY; index++) {
        Request booking = Request.booking(Instant.now(), "pitch " + index);
        assertAnswered(client, index % 2 == 0 ? booking : booking.withIssuedId(issued.get(index)));
        assertAnswered(client, Request.reading(Instant.now(), "cell " + index));
      }
    }
  }

  private static void assertAnswered(Dragonflyturn client, Request request) {
    RequestAnswer answer = client.send(request);
    assertThat(answer.requestId()).isEqualTo(request.id());
    assertThat(answer.answer()).contains(request.id()).endsWith(request.body());
  }

  /** Waits until an entry serves requests; a new entry refuses them until it has slots. */
  private static void awaitSlots(Dragonflyturn client) throws InterruptedException {
    Instant deadline = Instant.now().plus(LIMIT);
    while (true) {
      try {
        client.send(Request.reading(Instant.now(), "first"));
        return;
      } catch (DragonflyturnException starting) {
        assertThat(Instant.now()).as(starting.getMessage()).isBefore(deadline);
        Thread.sleep(Duration.ofMillis(100));
      }
    }
  }

  private static JobStatus awaitEnd(Dragonflyturn customer, String jobId)
      throws InterruptedException {
    Instant deadline = Instant.now().plus(LIMIT);
    while (true) {
      JobStatus status = customer.status(jobId);
      if (status.ended()) {
        return status;
      }
      assertThat(Instant.now()).as(status.toString()).isBefore(deadline);
      Thread.sleep(Duration.ofMillis(100));
    }
  }

  private static Dragonflyturn client(List<URI> entries, String token) {
    return Dragonflyturn.connect(entries, token, CALL_TIMEOUT);
  }
}
