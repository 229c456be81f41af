package io.dragonflyturn.internal.placement;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.MemberPlacement;
import java.util.List;

/** One thing that the policy wants done, with the reason for people. */
public sealed interface PlacementDecision {
  /** Why it is decided, for people. */
  String reason();

  /**
   * Gives a queued job its places. Every place is free when the decision is made.
   *
   * @param attempt the number of the new attempt
   */
  record StartGang(String jobId, int attempt, List<MemberPlacement> placements, String reason)
      implements PlacementDecision {
    /** Copies the placements. */
    public StartGang {
      placements = List.copyOf(placements);
    }
  }

  /** Asks a gang to stop, after a checkpoint where it can. */
  record StopGang(String jobId, int attempt, StopReason stopReason, String reason)
      implements PlacementDecision {}

  /** Ends a queued job that can never run. */
  record RefuseJob(String jobId, ResultCode code, String reason) implements PlacementDecision {}

  /** Starts no more work on a worker. */
  record QuarantineWorker(String worker, String reason) implements PlacementDecision {}

  /** Lets work start on a worker again, at first one task at a time. */
  record ReleaseWorker(String worker, String reason) implements PlacementDecision {}
}
