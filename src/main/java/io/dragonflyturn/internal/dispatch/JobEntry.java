package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.SubmittedJob;

/** What an instance knows of a job. */
public final class JobEntry {
  private final SubmittedJob submission;
  private boolean cancelled;
  private JobState state = JobState.QUEUED;
  private long endedAtMillis;

  JobEntry(SubmittedJob submission) {
    this.submission = submission;
  }

  /** Returns the job as it was accepted. */
  public SubmittedJob submission() {
    return submission;
  }

  /** Says whether a caller has cancelled the job. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Returns how far the job is, as callers see it. */
  public JobState state() {
    return cancelled && !state.isTerminal() ? JobState.CANCELLED : state;
  }

  /** Returns the state that the leader recorded. */
  JobState recordedState() {
    return state;
  }

  /** Returns when this instance saw the end, in milliseconds of its steady clock; 0 before. */
  long endedAtMillis() {
    return endedAtMillis;
  }

  void markCancelled() {
    cancelled = true;
  }

  void transitionTo(JobState next, long nowMillis) {
    if (state.isTerminal()) {
      return;
    }
    state = next;
    endedAtMillis = next.isTerminal() ? nowMillis : 0;
  }
}
