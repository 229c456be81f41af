package io.dragonflyturn.internal.state;

/** Where a job is in its life. */
public enum JobPhase {
  /** It waits for places. */
  QUEUED,
  /** Places are given; the members are being reserved. */
  RESERVED,
  /** Every member runs. */
  RUNNING,
  /** The attempt was asked to stop. */
  STOPPING,
  /** It is over. */
  ENDED;

  /** Returns whether a job in this phase holds places. */
  public boolean holdsResources() {
    return this == RESERVED || this == RUNNING || this == STOPPING;
  }
}
