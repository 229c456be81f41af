package io.dragonflyturn.standin;

import io.dragonflyturn.internal.gang.WorkerCommand;
import io.dragonflyturn.internal.gang.WorkerReport.TaskReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskState;
import java.util.List;
import java.util.Map;

/** Simulated task of a worker stand-in that runs one member of a gang. */
final class WorkerTask {
  static final String WORK_SECONDS = "work-seconds";
  static final String FAIL_AFTER_SECONDS = "fail-after-seconds";

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final TaskKey key;
  private final List<Integer> accelerators;
  private final long checkpointMillis;
  private TaskState state = TaskState.RESERVED;
  private long leaseUntilMillis;
  private long startMillis;
  private long endMillis;
  private boolean checkpointable;
  private double workSeconds;
  private double failAfterSeconds = Double.MAX_VALUE;
  private double initialCompletedSeconds;
  private double completedSeconds;
  private double checkpointedSeconds;

  WorkerTask(WorkerCommand.Reserve reserve, long checkpointMillis, long nowMillis) {
    key = TaskKey.of(reserve);
    accelerators = reserve.accelerators();
    this.checkpointMillis = checkpointMillis;
    leaseUntilMillis = nowMillis + reserve.leaseMillis();
  }

  /** Starts the task if it is reserved; otherwise does nothing. */
  void run(WorkerCommand.Run run, boolean failing, long nowMillis) {
    if (state != TaskState.RESERVED) {
      return;
    }
    state = TaskState.RUNNING;
    startMillis = nowMillis;
    leaseUntilMillis = nowMillis + run.leaseMillis();
    checkpointable = run.checkpointable();
    initialCompletedSeconds = run.completedSeconds();
    completedSeconds = initialCompletedSeconds;
    checkpointedSeconds = initialCompletedSeconds;
    workSeconds = number(run.labels(), WORK_SECONDS, 1);
    failAfterSeconds = failing ? 0 : number(run.labels(), FAIL_AFTER_SECONDS, Double.MAX_VALUE);
  }

  /** Extends the reservation if the task has not started yet. */
  void reserveAgain(WorkerCommand.Reserve reserve, long nowMillis) {
    if (state == TaskState.RESERVED) {
      leaseUntilMillis = Math.max(leaseUntilMillis, nowMillis + reserve.leaseMillis());
    }
  }

  /** Extends the run lease if the task is running; an expired lease is not renewed. */
  void extend(long leaseMillis, long nowMillis) {
    if (state == TaskState.RUNNING) {
      leaseUntilMillis = Math.max(leaseUntilMillis, nowMillis + leaseMillis);
    }
  }

  /** Stops the task; first writes a checkpoint if requested and the task is checkpointable. */
  void stop(boolean checkpoint, long nowMillis) {
    if (checkpoint && checkpointable && state == TaskState.RUNNING) {
      checkpointedSeconds = completedSeconds;
    }
    if (isActive()) {
      end(TaskState.STOPPED, nowMillis);
    }
  }

  /** Advances the task to the given time: it makes progress, ends, or loses its lease. */
  void advance(long nowMillis) {
    if (!isActive()) {
      return;
    }
    long untilMillis = Math.min(nowMillis, leaseUntilMillis);
    if (state == TaskState.RUNNING) {
      work(untilMillis);
    }
    if (isActive() && nowMillis >= leaseUntilMillis) {
      end(TaskState.LAPSED, leaseUntilMillis);
    }
  }

  private void work(long untilMillis) {
    double elapsed = (untilMillis - startMillis) / MILLIS_PER_SECOND;
    completedSeconds = Math.min(workSeconds, initialCompletedSeconds + elapsed);
    if (elapsed >= failAfterSeconds) {
      end(TaskState.FAILED, untilMillis);
    } else if (completedSeconds >= workSeconds) {
      checkpointedSeconds = completedSeconds;
      double remaining = (workSeconds - initialCompletedSeconds) * MILLIS_PER_SECOND;
      end(TaskState.COMPLETED, startMillis + Math.max(0, Math.round(remaining)));
    } else if (checkpointable) {
      double interval = checkpointMillis / MILLIS_PER_SECOND;
      double lastCheckpoint = initialCompletedSeconds + Math.floor(elapsed / interval) * interval;
      checkpointedSeconds = Math.max(checkpointedSeconds, lastCheckpoint);
    }
  }

  private void end(TaskState newState, long atMillis) {
    endMillis = atMillis;
    state = newState;
  }

  boolean isActive() {
    return state == TaskState.RESERVED || state == TaskState.RUNNING;
  }

  boolean hasRun() {
    return startMillis > 0;
  }

  boolean holdsAny(List<Integer> requested) {
    return isActive() && requested.stream().anyMatch(accelerators::contains);
  }

  TaskKey key() {
    return key;
  }

  TaskReport report() {
    return new TaskReport(
        key.jobId(), key.attempt(), key.member(), state, completedSeconds, checkpointedSeconds);
  }

  WorkerHistory.TaskRun history() {
    return new WorkerHistory.TaskRun(
        key.jobId(), key.attempt(), key.member(), startMillis, endMillis, state.name());
  }

  private static double number(Map<String, String> labels, String name, double defaultValue) {
    String value = labels.get(name);
    return value == null ? defaultValue : Double.parseDouble(value);
  }

  /** Identifies one gang member of one attempt to run a job. */
  record TaskKey(String jobId, int attempt, int member) {
    static TaskKey of(WorkerCommand command) {
      return new TaskKey(command.jobId(), command.attempt(), command.member());
    }
  }
}
