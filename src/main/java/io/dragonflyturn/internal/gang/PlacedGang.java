package io.dragonflyturn.internal.gang;

import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import java.util.List;

/**
 * An attempt of a gang that holds places in the control state.
 *
 * @param job the job
 * @param attempt the attempt
 * @param placements the places of all members
 * @param phase how far the control state says that the attempt is
 * @param completedSeconds the work kept from earlier attempts, in seconds of the job's time
 */
public record PlacedGang(
    JobSpecification job,
    int attempt,
    List<MemberPlacement> placements,
    Phase phase,
    double completedSeconds) {
  /** Copies the placements. */
  public PlacedGang {
    placements = List.copyOf(placements);
  }

  /** How far the control state says that an attempt is. */
  public enum Phase {
    /** It has its places. */
    RESERVED,
    /** Every member runs or has run. */
    RUNNING,
    /** It is asked to stop. */
    STOPPING
  }
}
