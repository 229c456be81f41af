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

/**
 * Tests seven entries during five minutes, on a manual clock, in which no instance reaches the log.
 */
class LongOutageTest {
  private static final int ENTRIES = 7;
  private static final Duration OUTAGE = Duration.ofMinutes(5);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(30);
  private static final int SERVED_PERCENT = 95;

  private final EntryCluster cluster = new EntryCluster();
  private final List<RequestService> services = new ArrayList<>();
  private final Map<RequestCall, CompletableFuture<RequestResponse>> issued = new LinkedHashMap<>();
  private final Map<RequestCall, CompletableFuture<RequestResponse>> callerKeys =
      new LinkedHashMap<>();
  private final Map<RequestCall, CompletableFuture<RequestResponse>> readings =
      new LinkedHashMap<>();

  @BeforeEach
  void runOutage() {
    for (int number = 1; number <= ENTRIES; number++) {
      services.add(cluster.start("entry-" + number));
    }
    setLogOutage(true);
    for (int step = 0; step < OUTAGE.dividedBy(STEP); step++) {
      sendEachKind(step);
      cluster.clock.advance(STEP);
    }
    setLogOutage(false);
    cluster.clock.advance(RECOVERY_TIME);
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
  void should_refuse_caller_keys_as_not_run_with_a_retry_delay() {
    assertThat(callerKeys.values())
        .extracting(CompletableFuture::join)
        .allMatch(response -> response.saysNotRun() && response.retryAfterMillis() != null);
  }

  @Test
  void should_run_no_booking_twice() {
    Map<String, Long> runs =
        cluster.targets.sent().stream()
            .collect(
                Collectors.groupingBy(sent -> sent.attempt().requestId(), Collectors.counting()));

    assertThat(issued.keySet()).allMatch(call -> runs.getOrDefault(call.requestId(), 0L) <= 1);
    assertThat(callerKeys.keySet()).noneMatch(call -> runs.containsKey(call.requestId()));
  }

  @Test
  void should_record_every_outcome_after_the_outage() {
    assertThat(cluster.controlPlane.records()).hasSize(issued.size());
  }

  @Test
  void should_return_the_same_answers_at_another_entry_after_the_issuers_are_killed() {
    services.forEach(service -> service.drain(RECOVERY_TIME).join());
    for (int number = 1; number <= ENTRIES; number++) {
      cluster.kill("entry-" + number);
    }
    RequestService newEntry = cluster.start("newEntry");

    issued.forEach(
        (call, response) ->
            assertThat(cluster.responseOf(newEntry.handle(call)).answer())
                .isEqualTo(response.join().answer()));
  }

  private void sendEachKind(int step) {
    RequestService entry = services.get(step % ENTRIES);
    RequestService issuer = services.get((step / 2) % ENTRIES);
    RequestCall booking =
        cluster.callWithIssuedIdentifier(
            issuer.identifiers().issue(EntryCluster.CUSTOMER, 1).getFirst());
    issued.put(booking, entry.handle(booking));
    RequestCall withCallerKey = cluster.callWithKey("own-" + step);
    callerKeys.put(withCallerKey, entry.handle(withCallerKey));
    RequestCall reading = cluster.idempotentCall("reading-" + step, Urgency.NORMAL);
    readings.put(reading, entry.handle(reading));
  }

  private void setLogOutage(boolean unavailable) {
    cluster.controlPlane.setUnavailable(unavailable);
    cluster.setLogAge(unavailable ? Duration.ofSeconds(3) : Duration.ZERO, unavailable);
  }

  private void report() {
    System.out.printf(
        "5 minutes without the log: issued %s, callers' keys %s, readings %s, records after %s%n",
        codes(issued), codes(callerKeys), codes(readings), cluster.controlPlane.records().size());
  }

  private static Map<ResultCode, Long> codes(
      Map<RequestCall, CompletableFuture<RequestResponse>> responses) {
    return responses.values().stream()
        .map(CompletableFuture::join)
        .collect(Collectors.groupingBy(RequestResponse::code, Collectors.counting()));
  }
}
