package io.dragonflyturn.internal.workload;

/** The state of a job. It is stored by ordinal, so the order of the constants must not change. */
public enum JobState {
  QUEUED,
  RUNNING,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Returns whether this is a final state. */
  public boolean isTerminal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
