package io.dragonflyturn.internal.policy;

/** What the latest runs on a worker say about it. */
public enum WorkerCondition {
  /** A run has progressed or completed recently, and none has failed since. */
  PROVEN,
  /** Nothing has been seen recently. */
  UNKNOWN,
  /** The latest run failed. The cause may be the job, so the worker is only avoided. */
  SUSPECT,
  /** Runs of several jobs have failed or stalled, or start orders were refused. */
  EXCLUDED
}
