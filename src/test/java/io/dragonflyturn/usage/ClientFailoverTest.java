package io.dragonflyturn.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.Request;
import io.dragonflyturn.RequestAnswer;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.net.URI;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ClientFailoverTest {
  private static final URI UNREACHABLE = URI.create("http://127.0.0.1:1");
  private static final String TOKEN = "token-of-derwent";
  private static final Instant CREATED_AT = Instant.parse("2026-01-05T08:00:00Z");

  private FakeEntry first;
  private FakeEntry second;

  @BeforeEach
  void start() throws Exception {
    first = new FakeEntry();
    second = new FakeEntry();
  }

  @AfterEach
  void stop() throws Exception {
    first.close();
    second.close();
  }

  @Test
  void should_send_the_token_and_the_whole_job() {
    first.answer(Map.of("jobId", "forecast-12"));

    try (Dragonflyturn client = client(first.address())) {
      assertThat(client.submit(job("forecast-12"))).isEqualTo("forecast-12");
    }

    assertThat(first.calls().getFirst())
        .startsWith("POST /v1/jobs Bearer token-of-derwent")
        .contains("\"id\":\"forecast-12\"", "\"members\":4", "\"span\":\"RACK\"")
        .doesNotContain("\"customer\"");
  }

  @Test
  void should_fail_over_to_another_entry_when_the_call_was_never_sent() {
    first.answer(Map.of("version", 4));

    try (Dragonflyturn client = client(UNREACHABLE, first.address())) {
      assertThat(client.apply(3, Configuration.EMPTY)).isEqualTo(4);
    }
  }

  @Test
  void should_fail_over_to_another_entry_when_the_first_is_shutting_down() {
    first.reject(ResultCode.SHUTTING_DOWN);
    second.answer(Map.of("version", 4));

    try (Dragonflyturn client = client(first.address(), second.address())) {
      assertThat(client.apply(3, Configuration.EMPTY)).isEqualTo(4);
    }
  }

  @Test
  void should_fail_over_to_another_entry_when_the_first_holds_no_slots() {
    first.reject(ResultCode.NO_TARGET);
    second.answer(Map.of("requestId", "swap-882", "answer", "locker 3 is open", "target", "w1"));

    try (Dragonflyturn client = client(first.address(), second.address())) {
      RequestAnswer answer =
          client.send(Request.booking(CREATED_AT, "locker 3").withId("swap-882"));
      assertThat(answer.answer()).isEqualTo("locker 3 is open");
    }
  }

  @Test
  void should_not_repeat_a_configuration_change_whose_answer_was_lost() {
    first.loseAnswer();

    try (Dragonflyturn client = client(first.address(), second.address())) {
      DragonflyturnException failure =
          catchThrowableOfType(
              DragonflyturnException.class, () -> client.apply(3, Configuration.EMPTY));
      assertThat(failure.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }
    assertThat(second.calls()).isEmpty();
  }

  @Test
  void should_repeat_a_request_under_its_id_when_the_answer_was_lost() {
    Request booking = Request.booking(CREATED_AT, "locker 12").withId("swap-881");
    first.loseAnswer();
    second.answer(Map.of("requestId", "swap-881", "answer", "locker 12 is open", "target", "w1"));

    try (Dragonflyturn client = client(first.address(), second.address())) {
      RequestAnswer answer = client.send(booking);
      assertThat(answer.answer()).isEqualTo("locker 12 is open");
    }
    assertThat(second.calls().getFirst()).contains("\"requestId\":\"swap-881\"");
  }

  @Test
  void should_not_fail_over_to_another_entry_when_the_input_is_wrong() {
    first.reject(ResultCode.IMPOSSIBLE_SHAPE);

    try (Dragonflyturn client = client(first.address(), second.address())) {
      DragonflyturnException failure =
          catchThrowableOfType(DragonflyturnException.class, () -> client.submit(job("large")));
      assertThat(failure.code()).isEqualTo(ResultCode.IMPOSSIBLE_SHAPE);
      assertThat(failure).hasMessage("scripted rejection");
    }
    assertThat(second.calls()).isEmpty();
  }

  @Test
  void should_report_peer_unreachable_when_no_entry_is_reached() {
    try (Dragonflyturn client = client(UNREACHABLE, UNREACHABLE)) {
      DragonflyturnException failure =
          catchThrowableOfType(DragonflyturnException.class, client::jobs);
      assertThat(failure.code()).isEqualTo(ResultCode.PEER_UNREACHABLE);
    }
  }

  @Test
  void should_reject_an_empty_list_of_entries() {
    DragonflyturnException failure =
        catchThrowableOfType(
            DragonflyturnException.class, () -> Dragonflyturn.connect(List.of(), TOKEN));

    assertThat(failure.code()).isEqualTo(ResultCode.INVALID_SETTINGS);
  }

  @Test
  void should_reject_an_answer_that_cannot_be_parsed() {
    first.answer(Map.of("jobId", Map.of("unexpected", true)));

    try (Dragonflyturn client = client(first.address())) {
      DragonflyturnException failure =
          catchThrowableOfType(DragonflyturnException.class, () -> client.status("forecast-12"));
      assertThat(failure.code()).isEqualTo(ResultCode.INTERNAL_ERROR);
    }
  }

  private static Dragonflyturn client(URI... entries) {
    return Dragonflyturn.connect(List.of(entries), TOKEN);
  }

  private static JobSpecification job(String id) {
    Shape shape = new Shape(4, 8, Span.RACK);
    return new JobSpecification(id, "", shape, Urgency.NORMAL, true, true, 60, Map.of());
  }
}
