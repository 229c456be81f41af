package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.workload.JobState;

/** The answer to an {@link CallerCall}. */
public sealed interface CallerAnswer {
  /** The submission or cancellation is stored. */
  record Accepted() implements CallerAnswer {}

  /** The current state of the job. */
  record Phase(JobState phase) implements CallerAnswer {}

  /** The number of jobs in the queue that have not started. */
  record Waiting(int jobs) implements CallerAnswer {}

  /** The job does not exist. */
  record NoSuchJob() implements CallerAnswer {}

  /** No queue is configured for the host and path. */
  record NoSuchQueue() implements CallerAnswer {}

  /** The API key is missing or unknown. */
  record UnknownKey() implements CallerAnswer {}

  /**
   * The call is invalid.
   *
   * @param message what is invalid and how to correct it
   */
  record Malformed(String message) implements CallerAnswer {}

  /** The call had no effect; the caller may retry it after a delay. */
  record Unavailable(long retryAfterSeconds) implements CallerAnswer {}

  /** The call may have taken effect; it is safe to retry. */
  record OutcomeUnknown() implements CallerAnswer {}
}
