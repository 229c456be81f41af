package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * A submitted job and its current status. All times are in milliseconds since the epoch.
 *
 * @param specification the job as submitted
 * @param phase the current phase
 * @param attempt the number of the last attempt; 0 before the first
 * @param placements the placements of the current attempt; empty if it holds no resources
 * @param submission the submission number, which orders the queue
 * @param submittedAtMillis when the job was submitted
 * @param reservedAtMillis when resources were reserved for the last attempt; 0 if never
 * @param startedAtMillis when all members of the last attempt were running; 0 if not yet
 * @param firstStartedAtMillis when all members of any attempt were first running; 0 if never
 * @param endedAtMillis when the job ended; 0 if it has not ended
 * @param attainedSeconds the total run time of the ended attempts, in seconds
 * @param completedSeconds the work preserved over all attempts, in seconds of job run time
 * @param endCode the result of the job; {@code null} if it has not ended
 * @param stopReason why a stop of the current attempt was requested; {@code null} if none was
 * @param cancelled whether the customer or an operator cancelled the job
 * @param failedWorkers the workers on which members of any attempt failed, sorted by name
 * @param lastReason the reason for the last decision about the job
 * @param decidingOffset the offset of the batch that contained the last decision
 */
public record JobRecord(
    JobSpecification specification,
    JobPhase phase,
    int attempt,
    List<MemberPlacement> placements,
    long submission,
    long submittedAtMillis,
    long reservedAtMillis,
    long startedAtMillis,
    long firstStartedAtMillis,
    long endedAtMillis,
    double attainedSeconds,
    double completedSeconds,
    @Nullable ResultCode endCode,
    @Nullable StopReason stopReason,
    boolean cancelled,
    List<String> failedWorkers,
    String lastReason,
    long decidingOffset) {
  private static final double MILLIS_PER_SECOND = 1000.0;

  /** Creates an instance with an immutable copy of the collections. */
  public JobRecord {
    placements = List.copyOf(placements);
    failedWorkers = List.copyOf(failedWorkers);
  }

  /** Returns the job's id. */
  public String id() {
    return specification.id();
  }

  static JobRecord submitted(JobSpecification job, long submission, ApplyContext context) {
    return new JobRecord(
        job,
        JobPhase.QUEUED,
        0,
        List.of(),
        submission,
        context.atMillis(),
        0,
        0,
        0,
        0,
        0,
        0,
        null,
        null,
        false,
        List.of(),
        "Submitted; waits for places.",
        context.offset());
  }

  JobRecord reserved(ControlRecord.GangReserved reservation, ApplyContext context) {
    return new JobRecord(
        specification,
        JobPhase.RESERVED,
        reservation.attempt(),
        reservation.placements(),
        submission,
        submittedAtMillis,
        context.atMillis(),
        0,
        firstStartedAtMillis,
        0,
        attainedSeconds,
        completedSeconds,
        null,
        null,
        cancelled,
        failedWorkers,
        reservation.reason(),
        context.offset());
  }

  JobRecord started(ApplyContext context) {
    return new JobRecord(
        specification,
        JobPhase.RUNNING,
        attempt,
        placements,
        submission,
        submittedAtMillis,
        reservedAtMillis,
        context.atMillis(),
        firstStartedAtMillis == 0 ? context.atMillis() : firstStartedAtMillis,
        0,
        attainedSeconds,
        completedSeconds,
        null,
        null,
        cancelled,
        failedWorkers,
        "Every member runs.",
        context.offset());
  }

  JobRecord stopping(StopReason newStopReason, String reason, ApplyContext context) {
    return new JobRecord(
        specification,
        JobPhase.STOPPING,
        attempt,
        placements,
        submission,
        submittedAtMillis,
        reservedAtMillis,
        startedAtMillis,
        firstStartedAtMillis,
        0,
        attainedSeconds,
        completedSeconds,
        null,
        newStopReason,
        cancelled || newStopReason == StopReason.CANCELLED,
        failedWorkers,
        reason,
        context.offset());
  }

  JobRecord requeued(ControlRecord.GangEnded end, String reason, ApplyContext context) {
    return new JobRecord(
        specification,
        JobPhase.QUEUED,
        attempt,
        List.of(),
        submission,
        submittedAtMillis,
        reservedAtMillis,
        0,
        firstStartedAtMillis,
        0,
        attainedSeconds + elapsedSeconds(context),
        end.completedSeconds(),
        null,
        null,
        cancelled,
        mergeFailedWorkers(end.failedWorkers()),
        reason,
        context.offset());
  }

  JobRecord ended(
      ResultCode code,
      double keptSeconds,
      List<String> newFailedWorkers,
      String reason,
      ApplyContext context) {
    return new JobRecord(
        specification,
        JobPhase.ENDED,
        attempt,
        List.of(),
        submission,
        submittedAtMillis,
        reservedAtMillis,
        startedAtMillis,
        firstStartedAtMillis,
        context.atMillis(),
        attainedSeconds + elapsedSeconds(context),
        keptSeconds,
        code,
        null,
        cancelled || code == ResultCode.CANCELLED || code == ResultCode.CANCELLED_BEFORE_RUN,
        mergeFailedWorkers(newFailedWorkers),
        reason,
        context.offset());
  }

  private double elapsedSeconds(ApplyContext context) {
    if (startedAtMillis == 0) {
      return 0;
    }
    return Math.max(0, context.atMillis() - startedAtMillis) / MILLIS_PER_SECOND;
  }

  private List<String> mergeFailedWorkers(List<String> newFailedWorkers) {
    if (newFailedWorkers.isEmpty()) {
      return failedWorkers;
    }
    TreeSet<String> all = new TreeSet<>(failedWorkers);
    all.addAll(newFailedWorkers);
    return List.copyOf(all);
  }
}
