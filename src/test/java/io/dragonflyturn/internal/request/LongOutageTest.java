package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Seven entries through five minutes, on a test clock, in which nobody reaches the log. */
class LongOutageTest {
  private static final int ENTRIES = 7;
  private static final Duration OUTAGE = Duration.ofMinutes(5);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration CATCH_UP = Duration.ofSeconds(30);
  private static final int SERVED_PERCENT = 95;

  private final TestEntries entries = new TestEntries();
  private final List<RequestService> services = new ArrayList<>();
  private final Map<RequestCall, CompletableFuture<RequestResponse>> issued = new LinkedHashMap<>();
  private final Map<RequestCall, CompletableFuture<RequestResponse>> chosen = new LinkedHashMap<>();
  private final Map<RequestCall, CompletableFuture<RequestResponse>> readings = new LinkedHashMap<>();

  @BeforeEach
  void passOutage() {
    for (int number = 1; number <= ENTRIES; number++) {
      services.add(entries.start("entry-" + number));
    }
    setOut(true);
    for (int step = 0; step < OUTAGE.dividedBy(STEP); step++) {
      sendEachKind(step);
      entries.time.advance(STEP);
    }
    setOut(false);
    entries.time.advance(CATCH_UP);
  }

  @Test
  void should_serve_issued_identifiers() {
    report();

    assertThat(codes(issued).getOrDefault(ResultCode.OK, 0L) * 100)
        .as("answers %s", codes(issued))
        .isGreaterThanOrEqualTo(SERVED_PERCENT * (long) issued.size());
  }

  @Test
  void should_serve_idempotent_requests() {
    assertThat(codes(readings)).containsOnlyKeys(ResultCode.OK);
  }

  @Test
  void should_refuse_keys_of_callers_as_not_run_with_a_time_to_retry() {
    assertThat(chosen.values())
        .extracting(CompletableFuture::join)
        .allMatch(answer -> answer.saysNotRun() && answer.retryAfterMillis() != null);
  }

  @Test
  void should_run_no_booking_twice() {
    Map<String, Long> runs =
        entries.targets.sent().stream()
            .collect(
                Collectors.groupingBy(sent -> sent.attempt().requestId(), Collectors.counting()));

    assertThat(issued.keySet()).allMatch(call -> runs.getOrDefault(call.requestId(), 0L) <= 1);
    assertThat(chosen.keySet()).noneMatch(call -> runs.containsKey(call.requestId()));
  }

  @Test
  void should_have_every_outcome_in_the_log_soon_after() {
    assertThat(entries.log.records()).hasSize(issued.size());
  }

  @Test
  void should_answer_alike_through_other_entries_when_the_issuers_are_gone() {
    services.forEach(service -> service.drain(CATCH_UP).join());
    for (int number = 1; number <= ENTRIES; number++) {
      entries.kill("entry-" + number);
    }
    RequestService fresh = entries.start("fresh");

    issued.forEach(
        (call, answer) ->
            assertThat(entries.answerOf(fresh.handle(call)).answer())
                .isEqualTo(answer.join().answer()));
  }

  private void sendEachKind(int step) {
    RequestService through = services.get(step % ENTRIES);
    RequestService issuer = services.get((step / 2) % ENTRIES);
    RequestCall booking =
        entries.issued(issuer.identifiers().issue(TestEntries.CUSTOMER, 1).getFirst());
    issued.put(booking, through.handle(booking));
    RequestCall own = entries.logged("own-" + step);
    chosen.put(own, through.handle(own));
    RequestCall reading = entries.idempotent("reading-" + step, Urgency.NORMAL);
    readings.put(reading, through.handle(reading));
  }

  private void setOut(boolean out) {
    entries.log.setOut(out);
    entries.setLogAge(out ? Duration.ofSeconds(3) : Duration.ZERO, out);
  }

  private void report() {
    System.out.printf(
        "5 minutes without the log: issued %s, callers' keys %s, readings %s, records after %s%n",
        codes(issued), codes(chosen), codes(readings), entries.log.records().size());
  }

  private static Map<ResultCode, Long> codes(
      Map<RequestCall, CompletableFuture<RequestResponse>> answers) {
    return answers.values().stream()
        .map(CompletableFuture::join)
        .collect(Collectors.groupingBy(RequestResponse::code, Collectors.counting()));
  }
}
