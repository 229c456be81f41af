package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.workload.JobState;

/** What a caller is told. */
public sealed interface CallerAnswer {
  /** The submission or cancellation is stored. */
  record Accepted() implements CallerAnswer {}

  /** The job's phase. */
  record Phase(JobState phase) implements CallerAnswer {}

  /** The number of a queue's jobs that have not begun. */
  record Waiting(int jobs) implements CallerAnswer {}

  /** There is no such job. */
  record NoSuchJob() implements CallerAnswer {}

  /** There is no such queue. */
  record NoSuchQueue() implements CallerAnswer {}

  /** The call shows no key that is known. */
  record UnknownKey() implements CallerAnswer {}

  /** The call cannot be read. */
  record Malformed(String message) implements CallerAnswer {}

  /** The call has no effect now; it may be repeated after a time. */
  record Unavailable(long retryAfterSeconds) implements CallerAnswer {}

  /** The call may have taken effect; repeating it is safe. */
  record OutcomeUnknown() implements CallerAnswer {}
}
