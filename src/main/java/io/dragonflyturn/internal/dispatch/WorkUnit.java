package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.RunRecord.Phase;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The unit of placement and execution: a single task, or all tasks of a gang step. */
final class WorkUnit {
  /** The task index of a unit that is a whole gang. */
  private static final int GANG_INDEX = -1;

  /**
   * The maximum length of a checkpoint in bytes of UTF-8; a longer one is not used, so that the
   * record of a run has a maximum length, too.
   */
  private static final int MAXIMUM_CHECKPOINT_BYTES = 4_096;

  /** How much the numbers in the record of a run may grow, in bytes. */
  private static final int MAXIMUM_NUMBER_GROWTH_BYTES = 16;

  private static final long FIRST_POSTPONEMENT_MILLIS = 1_000;
  private static final int MAXIMUM_POSTPONEMENT_DOUBLINGS = 5;

  private final ActiveJob job;
  private final int occurrence;
  private final int stepIndex;
  private final int taskIndex;
  private final Set<String> failedWorkers = new HashSet<>();
  private int lastRunNumber;
  private int failures;
  private String checkpoint = "";
  private boolean done;
  private @Nullable ActiveRun run;
  private long readySinceMillis;
  private int slowStarts;
  private int displacements;
  private int postponements;
  private long postponedUntilMillis;

  private WorkUnit(ActiveJob job, int occurrence, int stepIndex, int taskIndex) {
    this.job = job;
    this.occurrence = occurrence;
    this.stepIndex = stepIndex;
    this.taskIndex = taskIndex;
  }

  /** Creates the unit of a gang step, which consists of all tasks of the step. */
  static WorkUnit gang(ActiveJob job, int occurrence, int stepIndex) {
    return new WorkUnit(job, occurrence, stepIndex, GANG_INDEX);
  }

  /** Creates the unit of a single task. */
  static WorkUnit task(ActiveJob job, int occurrence, int stepIndex, int taskIndex) {
    return new WorkUnit(job, occurrence, stepIndex, taskIndex);
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
    return taskIndex == GANG_INDEX;
  }

  /** Returns the number of tasks of the unit. */
  int tasks() {
    return isGang() ? step().replicas() : 1;
  }

  /**
   * Returns the number of accelerators that the unit uses or waits for; 0 once it is done, or once
   * it runs without an end, because it then leaves nothing to later work.
   */
  long outstandingAccelerators() {
    boolean staysInUse = step().endless() && run != null;
    return done || staysInUse ? 0 : (long) tasks() * step().demand().accelerators();
  }

  /** Returns the resources that all tasks of the unit require together. */
  Resources demand() {
    return step().demand().times(tasks());
  }

  /** Returns the key under which the run record of the unit is stored. */
  String key() {
    return isGang() ? stepKey() : stepKey() + '.' + taskIndex;
  }

  /** Returns the key of the step and occurrence that the unit belongs to. */
  String stepKey() {
    return job.id() + '.' + occurrence + '.' + stepIndex;
  }

  /** Returns the full name of the task that a member runs. */
  String taskName(int memberIndex) {
    int nameIndex = isGang() ? memberIndex : taskIndex;
    return stepKey() + '.' + nameIndex;
  }

  int lastRunNumber() {
    return lastRunNumber;
  }

  int failures() {
    return failures;
  }

  /** Returns whether earlier runs failed, and one more failure ends the job. */
  boolean isOnLastAttempt() {
    int maximumAttempts = job.submission().queue().maximumAttempts();
    return !step().endless() && failures > 0 && failures >= maximumAttempts - 1;
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

  /** Records the time at which the unit became ready to run, unless it is already recorded. */
  void markReady(long nowMillis) {
    if (readySinceMillis == 0) {
      readySinceMillis = nowMillis;
    }
  }

  /** Counts a start that took too long because of the number of its own orders. */
  void countSlowStart() {
    slowStarts++;
  }

  /** Counts a preemption of the unit by a more urgent one. */
  void countDisplacement() {
    displacements++;
  }

  /** Returns how often this leader preempted the unit. */
  int displacements() {
    return displacements;
  }

  int slowStarts() {
    return slowStarts;
  }

  /** Keeps the unit from being started for a while, which doubles each time. */
  void postpone(long nowMillis) {
    int doublings = Math.min(postponements, MAXIMUM_POSTPONEMENT_DOUBLINGS);
    postponedUntilMillis = nowMillis + (FIRST_POSTPONEMENT_MILLIS << doublings);
    postponements++;
  }

  boolean isPostponed(long nowMillis) {
    return nowMillis < postponedUntilMillis;
  }

  void beginRun(ActiveRun next) {
    run = next;
    lastRunNumber = next.number();
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

  /**
   * Sets the latest checkpoint. An empty one and one that is too long are ignored, as are all
   * checkpoints of steps without checkpoints.
   */
  void updateCheckpoint(String newCheckpoint) {
    if (!newCheckpoint.isEmpty()
        && step().checkpointed()
        && newCheckpoint.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_CHECKPOINT_BYTES) {
      checkpoint = newCheckpoint;
    }
  }

  /** Returns how much the record of a run may grow after the run has been placed, in bytes. */
  int maximumRecordGrowthBytes() {
    return MAXIMUM_NUMBER_GROWTH_BYTES + (step().checkpointed() ? MAXIMUM_CHECKPOINT_BYTES : 0);
  }

  /** Restores the state of the unit, except for its run, from its stored record. */
  void restore(RunRecord stored) {
    lastRunNumber = stored.runNumber();
    failures = stored.failures();
    checkpoint = stored.checkpoint();
    done = stored.phase() == Phase.DONE;
  }

  /** Returns the record of the unit in its current state, for storage. */
  RunRecord record() {
    ActiveRun current = run;
    if (done) {
      return new RunRecord(lastRunNumber, Phase.DONE, failures, "", List.of());
    }
    if (current == null) {
      return new RunRecord(lastRunNumber, Phase.IDLE, failures, checkpoint, List.of());
    }
    Phase phase = current.hasFailed() ? Phase.FAILING : Phase.PLACED;
    return new RunRecord(lastRunNumber, phase, failures, checkpoint, current.placements());
  }
}
