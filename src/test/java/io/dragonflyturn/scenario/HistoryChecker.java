package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.GangTimings;
import io.dragonflyturn.standin.RequestReply;
import io.dragonflyturn.standin.WorkerHistory;
import io.dragonflyturn.standin.WorkerHistory.RequestRun;
import io.dragonflyturn.standin.WorkerHistory.TaskRun;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Checks that the results of requests are consistent with the histories of the workers. */
final class HistoryChecker {
  private final List<SentRequest> sent;
  private final List<WorkerHistory> histories;

  HistoryChecker(List<SentRequest> sent, List<WorkerHistory> histories) {
    this.sent = sent;
    this.histories = histories;
  }

  /** Asserts that no non-idempotent request ran more than once. */
  void assertNoDuplicateRuns() {
    assertThat(duplicateRuns()).as("requests that ran twice").isEmpty();
  }

  /** Asserts that every answer is complete and belongs to its request. */
  void assertAnswersMatchRequests() {
    assertThat(mismatchedAnswers()).as("answers that do not match their request").isEmpty();
  }

  /** Asserts that no request that was refused as not run was executed. */
  void assertRefusedRequestsDidNotRun() {
    assertThat(refusedButRun()).as("requests that ran after a refusal").isEmpty();
  }

  /** Asserts that every answered request was executed. */
  void assertAnsweredRequestsRan() {
    Map<String, Long> runs = runsByRequest();
    assertThat(sent)
        .filteredOn(each -> each.code().certainty() == ResultCode.Certainty.DONE)
        .as("answered requests")
        .allMatch(each -> runs.containsKey(each.request().id()));
  }

  List<String> duplicateRuns() {
    Map<String, Long> runs = runsByRequest();
    return sent.stream()
        .filter(each -> !each.request().idempotent())
        .map(each -> each.request().id())
        .distinct()
        .filter(id -> runs.getOrDefault(id, 0L) > 1)
        .toList();
  }

  List<SentRequest> mismatchedAnswers() {
    return sent.stream()
        .filter(each -> each.code().certainty() == ResultCode.Certainty.DONE)
        .filter(each -> !isOwnAnswer(each))
        .toList();
  }

  List<SentRequest> refusedButRun() {
    Map<String, Long> runs = runsByRequest();
    return sent.stream()
        .filter(each -> each.code().certainty() == ResultCode.Certainty.NOT_RUN)
        .filter(each -> runs.containsKey(each.request().id()))
        .toList();
  }

  /** Asserts that members ran without the rest of their gang only during the first run lease. */
  void assertNoIncompleteGangs(Map<String, Integer> membersByJob) {
    for (Map.Entry<String, List<TaskRun>> attempt : attempts().entrySet()) {
      List<TaskRun> runs = attempt.getValue();
      int members = membersByJob.getOrDefault(runs.getFirst().jobId(), runs.size());
      boolean complete = runs.stream().map(TaskRun::member).distinct().count() == members;
      long lastStart = runs.stream().mapToLong(TaskRun::startMillis).max().orElseThrow();
      for (TaskRun run : runs) {
        long incompleteMillis =
            (complete ? Math.min(lastStart, endOf(run)) : endOf(run)) - run.startMillis();
        assertThat(incompleteMillis)
            .as("incomplete gang in %s: %s", attempt.getKey(), runs)
            .isLessThanOrEqualTo(GangTimings.DEFAULT.firstRunLeaseMillis() + 50);
      }
    }
  }

  /** Asserts that no two attempts of a job overlap in time. */
  void assertAttemptsDoNotOverlap() {
    List<TaskRun> all = histories.stream().flatMap(each -> each.tasks().stream()).toList();
    for (TaskRun first : all) {
      for (TaskRun second : all) {
        if (first.jobId().equals(second.jobId()) && first.attempt() < second.attempt()) {
          assertThat(second.startMillis())
              .as("%s after %s", second, first)
              .isGreaterThanOrEqualTo(endOf(first));
        }
      }
    }
  }

  /**
   * Asserts that no task started in a failure domain in a time interval.
   *
   * @param domain the name of the failure domain
   * @param fromMillis the start of the interval, in milliseconds since the epoch
   * @param untilMillis the end of the interval, in milliseconds since the epoch
   */
  void assertNoTaskStarts(String domain, long fromMillis, long untilMillis) {
    assertThat(histories)
        .filteredOn(each -> each.failureDomain().equals(domain))
        .flatMap(WorkerHistory::tasks)
        .as("starts in %s from %s", domain, fromMillis)
        .noneMatch(run -> run.startMillis() > fromMillis && run.startMillis() < untilMillis);
  }

  /**
   * Asserts that no request reached the workers of a failure domain after a point in time.
   *
   * @param domain the name of the failure domain
   * @param fromMillis the point in time, in milliseconds since the epoch
   */
  void assertNoRequests(String domain, long fromMillis) {
    assertThat(histories)
        .filteredOn(each -> each.failureDomain().equals(domain))
        .flatMap(WorkerHistory::requests)
        .as("requests to %s from %s", domain, fromMillis)
        .noneMatch(run -> run.atMillis() > fromMillis);
  }

  private Map<String, List<TaskRun>> attempts() {
    return histories.stream()
        .flatMap(each -> each.tasks().stream())
        .collect(Collectors.groupingBy(run -> run.jobId() + "/" + run.attempt()));
  }

  private Map<String, Long> runsByRequest() {
    return histories.stream()
        .flatMap(each -> each.requests().stream())
        .filter(RequestRun::run)
        .collect(Collectors.groupingBy(RequestRun::requestId, Collectors.counting()));
  }

  private static boolean isOwnAnswer(SentRequest each) {
    String kind = each.request().kind().wireName();
    String id = each.request().id();
    return each.answeredId().equals(id)
        && each.answer().equals(RequestReply.expectedAnswer(kind, id, each.request().body()));
  }

  private static long endOf(TaskRun run) {
    return run.endMillis() == 0 ? System.currentTimeMillis() : run.endMillis();
  }
}
