package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.SubmittedJob;

/** A job and its state, as known to an instance. */
public final class JobEntry {
  private final SubmittedJob submission;
  private boolean cancelled;
  private JobState state = JobState.QUEUED;
  private long endedAtMillis;

  JobEntry(SubmittedJob submission) {
    this.submission = submission;
  }

  /** Returns the job as it was submitted. */
  public SubmittedJob submission() {
    return submission;
  }

  /** Returns whether the cancellation of the job has been requested. */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns the state of the job as callers see it: a job counts as cancelled as soon as this is
   * requested.
   */
  public JobState state() {
    return cancelled && !state.isTerminal() ? JobState.CANCELLED : state;
  }

  /** Returns the latest state that the leader has recorded. */
  JobState recordedState() {
    return state;
  }

  /**
   * Returns when this instance learned that the job had ended, in milliseconds of its monotonic
   * clock; 0 if it has not ended.
   */
  long endedAtMillis() {
    return endedAtMillis;
  }

  void markCancelled() {
    cancelled = true;
  }

  /** Sets the recorded state; does nothing if the job is already in a final state. */
  void transitionTo(JobState next, long nowMillis) {
    if (state.isTerminal()) {
      return;
    }
    state = next;
    endedAtMillis = next.isTerminal() ? nowMillis : 0;
  }
}
