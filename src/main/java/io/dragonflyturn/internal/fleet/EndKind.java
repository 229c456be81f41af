package io.dragonflyturn.internal.fleet;

/** How a run on a worker ended. */
public enum EndKind {
  /** The work is complete. */
  DONE,
  /** The run failed by its own fault or the worker's. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The lease ended. */
  LAPSED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not come in time. */
  ALONE,
  /** The run is gone, and the worker cannot say how it ended. */
  LOST,
  /** The run never started. */
  NOT_STARTED
}
