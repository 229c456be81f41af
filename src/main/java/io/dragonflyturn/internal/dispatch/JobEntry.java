package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.JobPhase;
import io.dragonflyturn.internal.workload.SubmittedJob;

/** What an instance knows of a job. */
public final class JobEntry {
  private final SubmittedJob submission;
  private boolean cancelled;
  private JobPhase phase = JobPhase.QUEUED;
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
  public JobPhase phase() {
    return cancelled && !phase.isEnd() ? JobPhase.CANCELLED : phase;
  }

  /** Returns the phase that the leader recorded. */
  JobPhase recordedPhase() {
    return phase;
  }

  /** Returns when this instance saw the end, in milliseconds of its steady clock; 0 before. */
  long endedMillis() {
    return endedMillis;
  }

  void cancel() {
    cancelled = true;
  }

  void enter(JobPhase next, long nowMillis) {
    if (phase.isEnd()) {
      return;
    }
    phase = next;
    endedMillis = next.isEnd() ? nowMillis : 0;
  }
}
