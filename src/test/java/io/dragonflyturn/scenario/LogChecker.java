package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.RequestRecord;
import io.dragonflyturn.internal.state.StateSnapshot;
import io.dragonflyturn.standin.WorkerHistory;
import io.dragonflyturn.standin.WorkerHistory.RequestRun;
import io.dragonflyturn.standin.WorkerHistory.TaskRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Checks that the log is consistent in itself and with the histories of the workers. */
final class LogChecker {
  /** Time after a take-out record in which tasks may still start in the failure domain. */
  static final long START_BOUND_MILLIS = 5_000;

  private final LogHistory log;
  private final List<WorkerHistory> histories;

  LogChecker(LogHistory log, List<WorkerHistory> histories) {
    this.log = log;
    this.histories = histories;
  }

  /** Asserts that the log violates no invariant and agrees with the worker histories. */
  void check() {
    decisions().check();
    String coverage = " (log " + log.coverage() + ")";
    assertThat(reverted())
        .as("records after which the configuration version was lower" + coverage)
        .isEmpty();
    assertThat(duplicatedRequests())
        .as("recorded requests that ran more than once" + coverage)
        .isEmpty();
    assertThat(lateStarts())
        .as("tasks that started in failure domains out of service" + coverage)
        .isEmpty();
  }

  /** Returns a description of the checked part of the log. */
  String coverage() {
    return log.coverage();
  }

  /** Returns a checker of the invariants of the log. */
  DecisionChecker decisions() {
    return new DecisionChecker(log);
  }

  /** Returns the records after which the configuration version was lower than before. */
  List<LogHistory.Applied> reverted() {
    List<LogHistory.Applied> reverted = new ArrayList<>();
    long highest = log.start().map(StateSnapshot::configurationVersion).orElse(0L);
    for (LogHistory.Applied each : log.applied()) {
      if (each.outcome().version() < highest) {
        reverted.add(each);
      }
      highest = Math.max(highest, each.outcome().version());
    }
    return reverted;
  }

  /** Returns the keys of claimed or finished requests that workers ran more than once. */
  List<String> duplicatedRequests() {
    Map<String, Long> runs =
        histories.stream()
            .flatMap(each -> each.requests().stream())
            .filter(RequestRun::run)
            .collect(Collectors.groupingBy(RequestRun::requestId, Collectors.counting()));
    return recordedKeys().filter(key -> runs.getOrDefault(key, 0L) > 1).distinct().toList();
  }

  /** Requests with issued ids have no claim record, so outcome records count as well. */
  private Stream<String> recordedKeys() {
    Stream<String> earlier =
        log.start().stream().flatMap(start -> start.requests().stream()).map(RequestRecord::key);
    return Stream.concat(
        earlier, log.accepted().stream().flatMap(each -> key(each.envelope().record()).stream()));
  }

  private static Optional<String> key(ControlRecord record) {
    return switch (record) {
      case ControlRecord.RequestClaimed claimed -> Optional.of(claimed.key());
      case ControlRecord.RequestFinished finished -> Optional.of(finished.key());
      default -> Optional.empty();
    };
  }

  /**
   * Returns the task runs that started in a failure domain that had been out of service for more
   * than {@link #START_BOUND_MILLIS}.
   */
  List<TaskRun> lateStarts() {
    return DomainOutages.of(log).stream().flatMap(outage -> startsIn(outage).stream()).toList();
  }

  /** Returns the workers that are quarantined according to their last record. */
  List<String> quarantined() {
    Map<String, Boolean> last = new HashMap<>();
    log.start()
        .ifPresent(start -> start.quarantine().keySet().forEach(name -> last.put(name, true)));
    for (LogHistory.Applied each : log.accepted()) {
      if (each.envelope().record() instanceof ControlRecord.WorkerQuarantineChanged changed) {
        last.put(changed.worker(), changed.quarantined());
      }
    }
    return last.keySet().stream().filter(name -> last.getOrDefault(name, false)).toList();
  }

  private List<TaskRun> startsIn(DomainOutages.Outage outage) {
    return histories.stream()
        .filter(history -> history.failureDomain().equals(outage.domain()))
        .flatMap(history -> history.tasks().stream())
        .filter(run -> run.startMillis() > outage.fromMillis() + START_BOUND_MILLIS)
        .filter(run -> run.startMillis() < outage.untilMillis())
        .toList();
  }
}
