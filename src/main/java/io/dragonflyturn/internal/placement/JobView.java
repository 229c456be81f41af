package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The policy input for one job that has not ended.
 *
 * @param specification what the customer submitted
 * @param phase whether the job holds accelerators
 * @param attempt the number of the current or last attempt; 0 before the first
 * @param placements the placements of the current attempt; empty while queued
 * @param submittedAt when the job was submitted
 * @param startedAt when the current attempt started to run; null while it does not run
 * @param attainedAcceleratorSeconds the accelerator seconds used by all attempts, as far as
 *     reported
 * @param completedSeconds the work completed over all attempts, in seconds of run time
 * @param checkpointSeconds the part of the completed work that the last complete checkpoint
 *     preserves, in seconds
 * @param failedWorkers the workers on which members of this job failed, one entry for each failure
 */
public record JobView(
    JobSpecification specification,
    AllocationPhase phase,
    int attempt,
    List<MemberPlacement> placements,
    Instant submittedAt,
    @Nullable Instant startedAt,
    double attainedAcceleratorSeconds,
    double completedSeconds,
    double checkpointSeconds,
    List<String> failedWorkers) {
  /** Creates a view with copies of the collections. */
  public JobView {
    placements = List.copyOf(placements);
    failedWorkers = List.copyOf(failedWorkers);
  }

  /** Returns a view of a job that has just been submitted. */
  public static JobView submitted(JobSpecification specification, Instant submittedAt) {
    return new JobView(
        specification, AllocationPhase.QUEUED, 0, List.of(), submittedAt, null, 0, 0, 0, List.of());
  }

  /** Returns the job id. */
  public String id() {
    return specification.id();
  }
}
