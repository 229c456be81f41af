package io.dragonflyturn.internal.state;

/** The phases of the life cycle of a job. */
public enum JobPhase {
  /** The job waits for placement. */
  QUEUED,
  /** Workers are assigned; the members are being reserved on them. */
  RESERVED,
  /** All members run. */
  RUNNING,
  /** A stop of the attempt was requested. */
  STOPPING,
  /** The job has ended. */
  ENDED;

  /** Returns whether a job in this phase holds worker resources. */
  public boolean holdsResources() {
    return this == RESERVED || this == RUNNING || this == STOPPING;
  }
}
