package io.dragonflyturn.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/** How long the runs of in-memory workers take, and which of them fail or stall. */
final class FakeRunPlan {
  private final Map<String, Double> speeds = new HashMap<>();
  private final Set<String> failingWorkers = new HashSet<>();
  private final Set<String> finishedEarly = new HashSet<>();
  private final Map<String, Long> workBySteps = new HashMap<>();
  private LongUnaryOperator workByStart = start -> 3_000;
  private long runsStarted;
  private int runsToStall;

  void setWorkMillis(LongUnaryOperator millis) {
    workByStart = millis;
  }

  void setWorkMillis(String stepKey, long millis) {
    workBySteps.put(stepKey, millis);
  }

  void setSpeed(String worker, double speed) {
    speeds.put(worker, speed);
  }

  void failRuns(String worker) {
    failingWorkers.add(worker);
  }

  void stallRuns(int runs) {
    runsToStall = runs;
  }

  void finishEarly(String task) {
    finishedEarly.add(task);
  }

  /** Creates the next run, which a worker starts at a time of its clock. */
  FakeRun next(String worker, String task, int number, long clockMillis) {
    runsStarted++;
    boolean stalls = runsToStall > 0;
    runsToStall = Math.max(0, runsToStall - 1);
    Long stepMillis = workBySteps.get(task.substring(0, task.lastIndexOf('.')));
    long workMillis = stepMillis == null ? workByStart.applyAsLong(runsStarted) : stepMillis;
    long totalMillis = (long) (workMillis / speeds.getOrDefault(worker, 1.0));
    return FakeRun.begun(
        number,
        clockMillis,
        totalMillis,
        stalls,
        failingWorkers.contains(worker),
        finishedEarly.contains(task));
  }
}
