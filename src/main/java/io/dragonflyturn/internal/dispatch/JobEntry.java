package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.SubmittedJob;

/** What an instance knows of a job. */
public final class JobEntry {
  private final SubmittedJob submission;
  private boolean cancelled;
  private JobState phase = JobState.QUEUED;
  private long endedMillis;

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
  public JobState phase() {
    return cancelled && !phase.isTerminal() ? JobState.CANCELLED : phase;
  }

  /** Returns the phase that the leader recorded. */
  JobState recordedPhase() {
    return phase;
  }

  /** Returns when this instance saw the end, in milliseconds of its steady clock; 0 before. */
  long endedMillis() {
    return endedMillis;
  }

  void cancel() {
    cancelled = true;
  }

  void enter(JobState next, long nowMillis) {
    if (phase.isTerminal()) {
      return;
    }
    phase = next;
    endedMillis = next.isTerminal() ? nowMillis : 0;
  }
}
