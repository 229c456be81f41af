package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Urgency;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The status of a job as shown to callers. Times are in milliseconds since the epoch; 0 means not
 * set.
 *
 * @param jobId the ID of the job
 * @param customer the customer that owns the job
 * @param phase the phase of the job's life cycle
 * @param attempt the number of the last attempt
 * @param shape the number and topology of the accelerators that it needs
 * @param urgency its urgency class
 * @param placements the workers and accelerators that it holds
 * @param submittedAtMillis when it was submitted
 * @param startedAtMillis when all members of the last attempt were running
 * @param firstStartedAtMillis when all members of an attempt were running for the first time
 * @param endedAtMillis when it ended
 * @param completedSeconds the completed work that survives a restart, in seconds of run time
 * @param endCode the number of the result code that it ended with; null if it has not ended
 * @param endName the name of that code; null if it has not ended
 * @param reason the reason for the last decision on the job
 */
record JobStatusView(
    String jobId,
    String customer,
    String phase,
    int attempt,
    Shape shape,
    Urgency urgency,
    List<MemberPlacement> placements,
    long submittedAtMillis,
    long startedAtMillis,
    long firstStartedAtMillis,
    long endedAtMillis,
    double completedSeconds,
    @Nullable Integer endCode,
    @Nullable String endName,
    String reason) {

  static JobStatusView of(JobRecord job) {
    ResultCode endCode = job.endCode();
    return new JobStatusView(
        job.id(),
        job.specification().customer(),
        job.phase().name(),
        job.attempt(),
        job.specification().shape(),
        job.specification().urgency(),
        job.placements(),
        job.submittedAtMillis(),
        job.startedAtMillis(),
        job.firstStartedAtMillis(),
        job.endedAtMillis(),
        job.completedSeconds(),
        endCode == null ? null : endCode.number(),
        endCode == null ? null : endCode.name(),
        job.lastReason());
  }
}
