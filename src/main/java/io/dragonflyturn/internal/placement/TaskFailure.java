package io.dragonflyturn.internal.placement;

import java.time.Instant;

/**
 * The failure of one member of a job on a worker.
 *
 * @param jobId the ID of the job
 * @param failedAt when the failure was recorded
 */
public record TaskFailure(String jobId, Instant failedAt) {}
