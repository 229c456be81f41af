package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.model.MemberPlacement;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** A job in the fake worker pool. Times are in milliseconds from the start. */
final class PoolJob {
  static final long RESUME_MILLIS = 10_000;
  static final long CHECKPOINT_MILLIS = 60_000;
  static final long REPORT_LAG_MILLIS = 5_000;
  static final long NEVER = -1;
  private static final double MILLIS_PER_SECOND = 1_000;

  final JobTruth truth;
  AllocationPhase phase = AllocationPhase.QUEUED;
  int attempt;
  List<MemberPlacement> placements = List.of();
  long heldSince = NEVER;
  long runningSince = NEVER;
  long firstStart = NEVER;
  long ended = NEVER;
  double keptSeconds;
  double attained;
  long heldMillis;
  boolean succeeded;
  final List<String> failedWorkers = new ArrayList<>();

  PoolJob(JobTruth truth) {
    this.truth = truth;
  }

  String id() {
    return truth.specification().id();
  }

  int accelerators() {
    return truth.specification().shape().accelerators();
  }

  /** Returns how long the current attempt spends before it does useful work. */
  long resumeMillis() {
    return keptSeconds > 0 ? RESUME_MILLIS : 0;
  }

  /** Returns the useful work done by a moment of the current attempt, in seconds. */
  double completedAt(long now) {
    if (runningSince == NEVER) {
      return keptSeconds;
    }
    double worked = Math.max(0, now - runningSince - resumeMillis()) / MILLIS_PER_SECOND;
    return Math.min(truth.runSeconds(), keptSeconds + worked);
  }

  /** Returns the work that the last periodic checkpoint keeps, in seconds. */
  double checkpointAt(long now) {
    if (!truth.specification().checkpointable() || runningSince == NEVER) {
      return keptSeconds;
    }
    long since = Math.max(0, now - runningSince);
    return completedAt(runningSince + since / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS);
  }

  JobView view(long now, Instant base) {
    long reported = Math.max(heldSince, now - REPORT_LAG_MILLIS);
    boolean held = phase != AllocationPhase.QUEUED;
    double inAttempt =
        held ? (reported - heldSince) / MILLIS_PER_SECOND * Math.max(1, accelerators()) : 0;
    return new JobView(
        truth.specification(),
        phase,
        attempt,
        placements,
        base.plusMillis(truth.submittedMillis()),
        runningSince == NEVER ? null : base.plusMillis(runningSince),
        attained + inAttempt,
        held ? completedAt(reported) : keptSeconds,
        held ? checkpointAt(reported) : keptSeconds,
        failedWorkers);
  }
}
