package io.dragonflyturn.internal.workload;

/** How far a job is; the numbers are stored. */
public enum JobState {
  QUEUED,
  RUNNING,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Says whether the job has ended. */
  public boolean isTerminal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
