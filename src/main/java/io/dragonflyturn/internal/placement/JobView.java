package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A job that has not ended, as the policy sees it.
 *
 * @param specification what the customer submitted
 * @param phase where the job stands
 * @param attempt the number of the current or last attempt; 0 before the first
 * @param placements the places that the current attempt holds; empty while queued
 * @param submittedAt when the job was submitted
 * @param startedAt when the current attempt started to run; null while it does not run
 * @param attainedAcceleratorSeconds accelerators times seconds held over all attempts, as far as
 *     reported
 * @param completedSeconds the work done over all attempts, in seconds of the job's time
 * @param checkpointSeconds the part of it that the last complete checkpoint keeps
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
  /** Copies the collections. */
  public JobView {
    placements = List.copyOf(placements);
    failedWorkers = List.copyOf(failedWorkers);
  }

  /** Returns a view of a job that has just been submitted. */
  public static JobView submitted(JobSpecification specification, Instant submittedAt) {
    return new JobView(
        specification, AllocationPhase.QUEUED, 0, List.of(), submittedAt, null, 0, 0, 0, List.of());
  }

  /** Returns the id of the job. */
  public String id() {
    return specification.id();
  }
}
