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

/** Compares what callers saw with what workers did. */
final class HistoryChecker {
  private final List<SentRequest> sent;
  private final List<WorkerHistory> histories;

  HistoryChecker(List<SentRequest> sent, List<WorkerHistory> histories) {
    this.sent = sent;
    this.histories = histories;
  }

  /** No request that may run once ran twice. */
  void noneDoubled() {
    assertThat(doubled()).as("requests that ran twice").isEmpty();
  }

  /** Every answer is whole and belongs to its own request. */
  void answersAreOwn() {
    assertThat(wrong()).as("answers that are not the caller's own").isEmpty();
  }

  /** Nothing that was refused as not run was run. */
  void refusedWereNotRun() {
    assertThat(falselyRefused()).as("requests that ran after a refusal").isEmpty();
  }

  /** Every answered request was run. */
  void answeredWereRun() {
    Map<String, Long> runs = runsByRequest();
    assertThat(sent)
        .filteredOn(each -> each.code().certainty() == ResultCode.Certainty.DONE)
        .as("answered requests")
        .allMatch(each -> runs.containsKey(each.request().id()));
  }

  List<String> doubled() {
    Map<String, Long> runs = runsByRequest();
    return sent.stream()
        .filter(each -> !each.request().idempotent())
        .map(each -> each.request().id())
        .distinct()
        .filter(id -> runs.getOrDefault(id, 0L) > 1)
        .toList();
  }

  List<SentRequest> wrong() {
    return sent.stream()
        .filter(each -> each.code().certainty() == ResultCode.Certainty.DONE)
        .filter(each -> !isOwnAnswer(each))
        .toList();
  }

  List<SentRequest> falselyRefused() {
    Map<String, Long> runs = runsByRequest();
    return sent.stream()
        .filter(each -> each.code().certainty() == ResultCode.Certainty.NOT_RUN)
        .filter(each -> runs.containsKey(each.request().id()))
        .toList();
  }

  /** No part of a gang ran for longer than the first lease without the whole gang. */
  void noPartGang(Map<String, Integer> membersByJob) {
    for (Map.Entry<String, List<TaskRun>> attempt : attempts().entrySet()) {
      List<TaskRun> runs = attempt.getValue();
      int members = membersByJob.getOrDefault(runs.getFirst().jobId(), runs.size());
      boolean whole = runs.stream().map(TaskRun::member).distinct().count() == members;
      long lastStart = runs.stream().mapToLong(TaskRun::startMillis).max().orElseThrow();
      for (TaskRun run : runs) {
        long alone = (whole ? Math.min(lastStart, endOf(run)) : endOf(run)) - run.startMillis();
        assertThat(alone)
            .as("part of a gang in %s: %s", attempt.getKey(), runs)
            .isLessThanOrEqualTo(GangTimings.DEFAULT.firstRunLeaseMillis() + 50);
      }
    }
  }

  /** No two attempts of a job ran at the same time. */
  void attemptsApart() {
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

  /** No task started in a failure domain between two times, in milliseconds since the epoch. */
  void noStart(String domain, long fromMillis, long untilMillis) {
    assertThat(histories)
        .filteredOn(each -> each.failureDomain().equals(domain))
        .flatMap(WorkerHistory::tasks)
        .as("starts in %s from %s", domain, fromMillis)
        .noneMatch(run -> run.startMillis() > fromMillis && run.startMillis() < untilMillis);
  }

  /** No request reached a failure domain's workers after a time. */
  void noRequest(String domain, long fromMillis) {
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
