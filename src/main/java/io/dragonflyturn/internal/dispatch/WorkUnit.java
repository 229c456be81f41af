package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.RunRecord.Phase;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What is placed and run as one: a single task, or all tasks of a gang step. */
final class WorkUnit {
  /** The index of a unit that is a whole gang. */
  private static final int GANG_INDEX = -1;

  private final ActiveJob job;
  private final int occurrence;
  private final int stepIndex;
  private final int index;
  private final Set<String> failedWorkers = new HashSet<>();
  private int lastRun;
  private int failures;
  private String checkpoint = "";
  private boolean done;
  private @Nullable ActiveRun run;
  private long readySinceMillis;

  private WorkUnit(ActiveJob job, int occurrence, int stepIndex, int index) {
    this.job = job;
    this.occurrence = occurrence;
    this.stepIndex = stepIndex;
    this.index = index;
  }

  static WorkUnit gang(ActiveJob job, int occurrence, int stepIndex) {
    return new WorkUnit(job, occurrence, stepIndex, GANG_INDEX);
  }

  static WorkUnit task(ActiveJob job, int occurrence, int stepIndex, int index) {
    return new WorkUnit(job, occurrence, stepIndex, index);
  }

  ActiveJob job() {
    return job;
  }

  int occurrence() {
    return occurrence;
  }

  int stepIndex() {
    return stepIndex;
  }

  StepSpecification step() {
    return job.submission().steps().get(stepIndex);
  }

  boolean isGang() {
    return index == GANG_INDEX;
  }

  int tasks() {
    return isGang() ? step().replicas() : 1;
  }

  /** Returns how many accelerators the unit occupies or wants; none once it is done. */
  long outstandingAccelerators() {
    return done ? 0 : (long) tasks() * step().demand().accelerators();
  }

  /** Returns the key of the unit's run record. */
  String key() {
    return isGang() ? stepKey() : stepKey() + '.' + index;
  }

  /** Returns what the units of one step and occurrence share. */
  String stepKey() {
    return job.id() + '.' + occurrence + '.' + stepIndex;
  }

  /** Returns the name of a member's task. */
  String taskName(int memberIndex) {
    int taskIndex = isGang() ? memberIndex : index;
    return stepKey() + '.' + taskIndex;
  }

  int lastRun() {
    return lastRun;
  }

  int failures() {
    return failures;
  }

  String checkpoint() {
    return checkpoint;
  }

  boolean isDone() {
    return done;
  }

  @Nullable ActiveRun run() {
    return run;
  }

  Set<String> failedWorkers() {
    return failedWorkers;
  }

  long readySinceMillis() {
    return readySinceMillis;
  }

  /** Notes since when the unit could have run. */
  void markReady(long nowMillis) {
    if (readySinceMillis == 0) {
      readySinceMillis = nowMillis;
    }
  }

  void beginRun(ActiveRun next) {
    run = next;
    lastRun = next.number();
    readySinceMillis = 0;
  }

  void endRun() {
    run = null;
  }

  void markDone() {
    done = true;
  }

  void countFailure() {
    failures++;
  }

  void updateCheckpoint(String newest) {
    if (!newest.isEmpty() && step().checkpointed()) {
      checkpoint = newest;
    }
  }

  void restore(RunRecord stored) {
    lastRun = stored.run();
    failures = stored.failures();
    checkpoint = stored.checkpoint();
    done = stored.phase() == Phase.DONE;
  }

  RunRecord record() {
    ActiveRun current = run;
    if (done) {
      return new RunRecord(lastRun, Phase.DONE, failures, "", List.of());
    }
    if (current == null) {
      return new RunRecord(lastRun, Phase.IDLE, failures, checkpoint, List.of());
    }
    return new RunRecord(lastRun, Phase.PLACED, failures, checkpoint, current.placements());
  }
}
