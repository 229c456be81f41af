package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.model.MemberPlacement;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of one job in the fleet simulation. Times are in milliseconds from the start of the
 * simulation.
 */
final class SimulatedJob {
  static final long RESUME_DELAY_MILLIS = 10_000;
  static final long CHECKPOINT_INTERVAL_MILLIS = 60_000;
  static final long REPORT_LAG_MILLIS = 5_000;
  static final long NEVER = -1;
  private static final double MILLIS_PER_SECOND = 1_000;

  final ScenarioJob scenarioJob;
  AllocationPhase phase = AllocationPhase.QUEUED;
  int attempt;
  List<MemberPlacement> placements = List.of();
  long allocatedSinceMillis = NEVER;
  long runningSinceMillis = NEVER;
  long firstStartMillis = NEVER;
  long endedMillis = NEVER;
  double savedSeconds;
  double attainedAcceleratorSeconds;
  long allocatedMillis;
  boolean succeeded;
  final List<String> failedWorkers = new ArrayList<>();

  SimulatedJob(ScenarioJob scenarioJob) {
    this.scenarioJob = scenarioJob;
  }

  String id() {
    return scenarioJob.specification().id();
  }

  int accelerators() {
    return scenarioJob.specification().shape().accelerators();
  }

  /** Returns how long the current attempt restores state before it makes progress. */
  long resumeDelayMillis() {
    return savedSeconds > 0 ? RESUME_DELAY_MILLIS : 0;
  }

  /** Returns the work completed at a time during the current attempt, in seconds. */
  double completedAt(long nowMillis) {
    if (runningSinceMillis == NEVER) {
      return savedSeconds;
    }
    double workedSeconds =
        Math.max(0, nowMillis - runningSinceMillis - resumeDelayMillis()) / MILLIS_PER_SECOND;
    return Math.min(scenarioJob.actualRunSeconds(), savedSeconds + workedSeconds);
  }

  /** Returns the work that the last periodic checkpoint preserves, in seconds. */
  double checkpointAt(long nowMillis) {
    if (!scenarioJob.specification().checkpointable() || runningSinceMillis == NEVER) {
      return savedSeconds;
    }
    long elapsedMillis = Math.max(0, nowMillis - runningSinceMillis);
    return completedAt(
        runningSinceMillis
            + elapsedMillis / CHECKPOINT_INTERVAL_MILLIS * CHECKPOINT_INTERVAL_MILLIS);
  }

  /**
   * Returns the view of this job for the policy. Progress in it is as old as the last report of the
   * worker.
   */
  JobView view(long nowMillis, Instant simulationStart) {
    long reportedMillis = Math.max(allocatedSinceMillis, nowMillis - REPORT_LAG_MILLIS);
    boolean isAllocated = phase != AllocationPhase.QUEUED;
    double currentAttemptAcceleratorSeconds =
        isAllocated
            ? (reportedMillis - allocatedSinceMillis)
                / MILLIS_PER_SECOND
                * Math.max(1, accelerators())
            : 0;
    return new JobView(
        scenarioJob.specification(),
        phase,
        attempt,
        placements,
        simulationStart.plusMillis(scenarioJob.submittedMillis()),
        runningSinceMillis == NEVER ? null : simulationStart.plusMillis(runningSinceMillis),
        attainedAcceleratorSeconds + currentAttemptAcceleratorSeconds,
        isAllocated ? completedAt(reportedMillis) : savedSeconds,
        isAllocated ? checkpointAt(reportedMillis) : savedSeconds,
        failedWorkers);
  }
}
