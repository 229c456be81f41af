package io.dragonflyturn.internal.gang;

import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import java.util.List;

/**
 * An attempt of a gang that holds resources in the control state.
 *
 * @param job the job
 * @param attempt the attempt number
 * @param placements the placements of all members
 * @param phase the phase of the attempt in the control state
 * @param completedSeconds the work preserved from earlier attempts, in seconds of job run time
 */
public record PlacedGang(
    JobSpecification job,
    int attempt,
    List<MemberPlacement> placements,
    Phase phase,
    double completedSeconds) {
  /** Creates an instance with an immutable copy of the placements. */
  public PlacedGang {
    placements = List.copyOf(placements);
  }

  /** The phase of an attempt in the control state. */
  public enum Phase {
    /** Resources are assigned. */
    RESERVED,
    /** All members have started. */
    RUNNING,
    /** A stop was requested. */
    STOPPING
  }
}
