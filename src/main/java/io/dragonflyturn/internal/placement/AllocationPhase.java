package io.dragonflyturn.internal.placement;

/** Whether a job holds accelerators, as seen by the placement policy. */
public enum AllocationPhase {
  /** The job waits in the queue and holds no accelerators. */
  QUEUED,
  /** The job holds its accelerators: its gang is reserved or running. */
  ALLOCATED,
  /** The job was asked to stop and still holds its accelerators. */
  STOPPING
}
