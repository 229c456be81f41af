package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.EndedTask;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Counts the starts of tasks on in-memory workers, and notes those that must not have been. */
final class FakeAudit {
  static final String RUNS_TWICE = " runs twice";
  static final String RUNS_BESIDE_LATE_RUN =
      " runs twice, beside a run that began after a later one";

  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> startsOfTasks = new HashMap<>();
  private final Map<String, Integer> startsOnWorkers = new HashMap<>();
  private final Map<String, Integer> highestRuns = new HashMap<>();
  private final Set<String> lateRuns = new HashSet<>();
  private final Set<String> acknowledgedDone = new HashSet<>();
  private Consumer<String> observer = event -> {};

  /** Sets what is told of each start and each end of a run. */
  void setObserver(Consumer<String> newObserver) {
    observer = newObserver;
  }

  void tell(String event) {
    observer.accept(event);
  }

  List<String> violations() {
    return violations;
  }

  int starts(String task) {
    return startsOfTasks.getOrDefault(task, 0);
  }

  int startsOn(String worker) {
    return startsOnWorkers.getOrDefault(worker, 0);
  }

  /**
   * Records that a worker starts a task.
   *
   * @param run the number of the run that begins
   * @param presentRun the number of the run of the task that is active already; 0 if none is
   */
  void started(String worker, String task, int run, int presentRun) {
    if (presentRun > 0) {
      boolean late = lateRuns.contains(task + '/' + presentRun);
      violate(task + (late ? RUNS_BESIDE_LATE_RUN : RUNS_TWICE));
    }
    if (run < highestRuns.getOrDefault(task, 0)) {
      lateRuns.add(task + '/' + run);
    }
    highestRuns.merge(task, run, Math::max);
    if (acknowledgedDone.contains(task)) {
      violate(task + " starts again after its end was acknowledged");
    }
    startsOnWorkers.merge(worker, 1, Integer::sum);
    startsOfTasks.merge(task, 1, Integer::sum);
  }

  void acknowledged(EndedTask end) {
    if (end.kind() == EndKind.DONE) {
      acknowledgedDone.add(end.task());
    }
  }

  private void violate(String violation) {
    violations.add(violation);
    tell("VIOLATION: " + violation);
  }
}
