package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.standin.WorkerHistory;
import io.dragonflyturn.standin.WorkerHistory.RequestRun;
import io.dragonflyturn.standin.WorkerHistory.TaskRun;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that {@link LogChecker} reports each kind of inconsistency with the log. */
class LogCheckerTest {
  private static final long OUT_MILLIS = 10_000;
  private static final long BOUND_MILLIS = OUT_MILLIS + LogChecker.START_BOUND_MILLIS;

  private final LogHistoryBuilder history = new LogHistoryBuilder().withLeader();

  @Test
  void should_accept_a_consistent_history() {
    history
        .valid(0, LogHistoryBuilder.claimed("claimed", "entry"))
        .valid(0, LogHistoryBuilder.finished("issued", "entry"))
        .at(OUT_MILLIS)
        .valid(0, LogHistoryBuilder.service(ServiceState.TAKEN_OUT))
        .at(BOUND_MILLIS + 1_000)
        .valid(0, LogHistoryBuilder.service(ServiceState.RETURNING));
    WorkerHistory worker =
        new WorkerHistory(
            "w-1",
            LogHistoryBuilder.DOMAIN,
            List.of(ran("claimed"), refused("claimed"), ran("issued")),
            List.of(startedAt(BOUND_MILLIS), startedAt(BOUND_MILLIS + 1_000)));

    assertThatCode(() -> checker(worker).check()).doesNotThrowAnyException();
  }

  @Test
  void should_report_a_configuration_version_that_decreases() {
    history
        .valid(0, LogHistoryBuilder.configured(1, ServiceState.IN_SERVICE))
        .invalid(0, LogHistoryBuilder.service(ServiceState.IN_SERVICE), 1);

    assertThat(checker().reverted()).hasSize(1);
    assertReported("configuration version was lower", checker());
  }

  @Test
  void should_report_a_configuration_version_below_that_of_the_initial_snapshot() {
    history.expireIntoSnapshot().invalid(0, LogHistoryBuilder.service(ServiceState.IN_SERVICE), 0);

    assertThat(checker().reverted()).hasSize(1);
  }

  @Test
  void should_report_a_claimed_request_that_ran_twice() {
    history.valid(0, LogHistoryBuilder.claimed("claimed", "entry"));
    LogChecker checker = checker(requests("w-1", "claimed"), requests("w-2", "claimed"));

    assertThat(checker.duplicatedRequests()).containsExactly("claimed");
    assertReported("ran more than once", checker);
  }

  @Test
  void should_report_a_request_with_an_issued_id_that_ran_twice() {
    history.valid(0, LogHistoryBuilder.finished("issued", "entry"));
    LogChecker checker = checker(requests("w-1", "issued"), requests("w-2", "issued"));

    assertThat(checker.duplicatedRequests()).containsExactly("issued");
  }

  @Test
  void should_report_a_request_that_ran_twice_and_was_claimed_in_an_expired_record() {
    history.valid(0, LogHistoryBuilder.claimed("claimed", "entry")).expireIntoSnapshot();
    LogChecker checker = checker(requests("w-1", "claimed", "claimed"));

    assertThat(checker.duplicatedRequests()).containsExactly("claimed");
  }

  @Test
  void should_report_a_start_in_a_failure_domain_out_of_service() {
    takeOut();
    LogChecker checker = checker(tasks(startedAt(BOUND_MILLIS + 1)));

    assertThat(checker.lateStarts()).hasSize(1);
    assertReported("started in failure domains out of service", checker);
  }

  @Test
  void should_report_a_start_after_a_repeated_take_out() {
    takeOut().at(OUT_MILLIS + 1_000).valid(0, LogHistoryBuilder.service(ServiceState.TAKEN_OUT));

    assertThat(checker(tasks(startedAt(BOUND_MILLIS + 1))).lateStarts()).hasSize(1);
  }

  @Test
  void should_report_a_start_although_a_configuration_lists_the_domain_as_in_service() {
    takeOut()
        .at(OUT_MILLIS + 1_000)
        .valid(0, LogHistoryBuilder.configured(2, ServiceState.IN_SERVICE));

    assertThat(checker(tasks(startedAt(BOUND_MILLIS + 1))).lateStarts()).hasSize(1);
  }

  @Test
  void should_ignore_a_configuration_that_lists_a_domain_in_service_as_taken_out() {
    history.at(OUT_MILLIS).valid(0, LogHistoryBuilder.configured(1, ServiceState.TAKEN_OUT));

    assertThat(checker(tasks(startedAt(BOUND_MILLIS + 1))).lateStarts()).isEmpty();
  }

  @Test
  void should_report_a_start_in_a_domain_taken_out_by_an_expired_record() {
    takeOut().expireIntoSnapshot();

    assertThat(checker(tasks(startedAt(BOUND_MILLIS + 1))).lateStarts()).hasSize(1);
  }

  private LogHistoryBuilder takeOut() {
    return history.at(OUT_MILLIS).valid(0, LogHistoryBuilder.service(ServiceState.TAKEN_OUT));
  }

  private LogChecker checker(WorkerHistory... workers) {
    return new LogChecker(history.log(), List.of(workers));
  }

  private static void assertReported(String what, LogChecker checker) {
    assertThatThrownBy(checker::check)
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining(what);
  }

  private static WorkerHistory requests(String worker, String... ids) {
    List<RequestRun> runs = Stream.of(ids).map(LogCheckerTest::ran).toList();
    return new WorkerHistory(worker, LogHistoryBuilder.DOMAIN, runs, List.of());
  }

  private static WorkerHistory tasks(TaskRun... runs) {
    return new WorkerHistory("w-1", LogHistoryBuilder.DOMAIN, List.of(), List.of(runs));
  }

  private static RequestRun ran(String id) {
    return new RequestRun(id, "attempt", false, true, false, 2_000);
  }

  private static RequestRun refused(String id) {
    return new RequestRun(id, "attempt", false, false, false, 2_000);
  }

  private static TaskRun startedAt(long millis) {
    return new TaskRun("job", 1, 0, millis, millis + 1, "COMPLETED");
  }
}
