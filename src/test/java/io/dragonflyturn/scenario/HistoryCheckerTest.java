package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.Request;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.GangTimings;
import io.dragonflyturn.standin.RequestReply;
import io.dragonflyturn.standin.WorkerHistory;
import io.dragonflyturn.standin.WorkerHistory.RequestRun;
import io.dragonflyturn.standin.WorkerHistory.TaskRun;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

/** Tests that {@link HistoryChecker} reports each kind of inconsistency. */
class HistoryCheckerTest {
  private static final String DOMAIN = "kingston";
  private static final Map<String, Integer> TWO_MEMBERS = Map.of("job", 2);
  private static final long LEASE = GangTimings.DEFAULT.firstRunLeaseMillis();

  private final Request booking = Request.booking(Instant.ofEpochSecond(1), "pitch 1");
  private final Request reading = Request.reading(Instant.ofEpochSecond(1), "forecast");

  @Test
  void should_accept_consistent_requests() {
    Request refused = Request.booking(Instant.ofEpochSecond(2), "pitch 2");
    HistoryChecker checker =
        new HistoryChecker(
            List.of(answered(booking), answered(reading), unanswered(refused)),
            List.of(requests(ran(booking), ran(reading), ran(reading), refused(refused))));

    assertThatCode(
            () -> {
              checker.assertNoDuplicateRuns();
              checker.assertAnswersMatchRequests();
              checker.assertRefusedRequestsDidNotRun();
              checker.assertAnsweredRequestsRan();
              checker.assertNoRequests(DOMAIN, 1_000);
            })
        .doesNotThrowAnyException();
  }

  @Test
  void should_report_a_booking_that_ran_on_two_workers() {
    HistoryChecker checker =
        new HistoryChecker(
            List.of(answered(booking)), List.of(requests(ran(booking)), requests(ran(booking))));

    assertReported(checker::assertNoDuplicateRuns, "ran twice");
  }

  @Test
  void should_report_the_answer_to_another_request() {
    SentRequest crossed =
        new SentRequest(booking, ResultCode.OK, reading.id(), answered(reading).answer());

    assertReported(
        checker(crossed, ran(booking))::assertAnswersMatchRequests, "do not match their request");
  }

  @Test
  void should_report_a_truncated_answer() {
    String complete = answered(booking).answer();
    SentRequest truncated =
        new SentRequest(
            booking, ResultCode.OK, booking.id(), complete.substring(0, complete.length() - 1));

    assertReported(
        checker(truncated, ran(booking))::assertAnswersMatchRequests, "do not match their request");
  }

  @Test
  void should_report_a_refused_request_that_ran() {
    HistoryChecker checker = checker(unanswered(booking), ran(booking));

    assertReported(checker::assertRefusedRequestsDidNotRun, "ran after a refusal");
  }

  @Test
  void should_report_an_answered_request_that_was_only_refused() {
    HistoryChecker checker = checker(answered(booking), refused(booking));

    assertReported(checker::assertAnsweredRequestsRan, "answered requests");
  }

  @Test
  void should_report_a_request_to_a_failure_domain_after_a_time() {
    HistoryChecker checker = checker(answered(booking), ran(booking));

    assertReported(() -> checker.assertNoRequests(DOMAIN, 999), "requests to kingston");
  }

  @Test
  void should_accept_a_gang_that_is_complete_within_its_first_lease_and_runs_again_later() {
    HistoryChecker checker =
        tasks(
            run(1, 0, 1_000, 9_000),
            run(1, 1, 1_000 + LEASE, 9_000),
            run(2, 0, 9_000, 9_500),
            run(2, 1, 9_000, 9_500));

    assertThatCode(
            () -> {
              checker.assertNoIncompleteGangs(TWO_MEMBERS);
              checker.assertAttemptsDoNotOverlap();
              checker.assertNoTaskStarts(DOMAIN, 1_000 + LEASE, 9_000);
            })
        .doesNotThrowAnyException();
  }

  @Test
  void should_report_a_member_that_ran_alone() {
    HistoryChecker checker = tasks(run(1, 0, 1_000, 1_100 + LEASE));

    assertReported(() -> checker.assertNoIncompleteGangs(TWO_MEMBERS), "incomplete gang");
  }

  @Test
  void should_report_a_member_that_still_runs_alone() {
    HistoryChecker checker = tasks(run(1, 0, 1_000, 0));

    assertReported(() -> checker.assertNoIncompleteGangs(TWO_MEMBERS), "incomplete gang");
  }

  @Test
  void should_report_a_member_that_starts_after_the_first_lease() {
    HistoryChecker checker = tasks(run(1, 0, 1_000, 9_000), run(1, 1, 1_100 + LEASE, 9_000));

    assertReported(() -> checker.assertNoIncompleteGangs(TWO_MEMBERS), "incomplete gang");
  }

  @Test
  void should_report_an_attempt_that_starts_while_an_earlier_one_runs() {
    HistoryChecker checker = tasks(run(1, 0, 1_000, 9_000), run(2, 0, 8_999, 9_500));

    assertReported(checker::assertAttemptsDoNotOverlap, "after");
  }

  @Test
  void should_report_a_start_in_a_failure_domain_between_two_times() {
    HistoryChecker checker = tasks(run(1, 0, 1_000, 9_000));

    assertReported(() -> checker.assertNoTaskStarts(DOMAIN, 999, 1_001), "starts in kingston");
  }

  private static void assertReported(ThrowingCallable check, String what) {
    assertThatThrownBy(check).isInstanceOf(AssertionError.class).hasMessageContaining(what);
  }

  private static HistoryChecker checker(SentRequest sent, RequestRun... runs) {
    return new HistoryChecker(List.of(sent), List.of(requests(runs)));
  }

  private static HistoryChecker tasks(TaskRun... runs) {
    return new HistoryChecker(
        List.of(),
        Stream.of(runs)
            .map(run -> new WorkerHistory("w", DOMAIN, List.of(), List.of(run)))
            .toList());
  }

  private static WorkerHistory requests(RequestRun... runs) {
    return new WorkerHistory("w", DOMAIN, List.of(runs), List.of());
  }

  private static SentRequest answered(Request request) {
    String kind = request.kind().wireName();
    return new SentRequest(
        request,
        ResultCode.OK,
        request.id(),
        RequestReply.expectedAnswer(kind, request.id(), request.body()));
  }

  private static SentRequest unanswered(Request request) {
    return new SentRequest(request, ResultCode.OVERLOADED, "", "");
  }

  private static RequestRun ran(Request request) {
    return new RequestRun(request.id(), "attempt", request.idempotent(), true, false, 1_000);
  }

  private static RequestRun refused(Request request) {
    return new RequestRun(request.id(), "attempt", request.idempotent(), false, false, 1_000);
  }

  private static TaskRun run(int attempt, int member, long startMillis, long endMillis) {
    return new TaskRun("job", attempt, member, startMillis, endMillis, "COMPLETED");
  }
}
