package io.dragonflyturn.internal.fleet;

/** How a run on a worker ended. */
public enum EndKind {
  /** The task completed successfully. */
  DONE,
  /** The run failed, because of an error in the task or on the worker. */
  FAILED,
  /** The run was stopped by a {@link StopOrder}. */
  STOPPED,
  /** The worker's lease expired while the run was active. */
  LAPSED,
  /** The run was ended because another member of its gang ended. */
  BROKEN,
  /** The other members of the gang did not start before the timeout. */
  ALONE,
  /** The run no longer exists, and how it ended is unknown. */
  LOST,
  /** The run never started. */
  NOT_STARTED
}
