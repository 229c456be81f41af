package io.dragonflyturn.internal.placement;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.MemberPlacement;
import java.util.List;

/** One action that the placement policy requests, with a reason for operators. */
public sealed interface PlacementDecision {
  /** Returns the reason for the decision, as text for operators. */
  String reason();

  /**
   * Starts a queued job on the given placements. Their accelerators are free when the decision is
   * made.
   *
   * @param attempt the number of the new attempt
   */
  record StartGang(String jobId, int attempt, List<MemberPlacement> placements, String reason)
      implements PlacementDecision {
    /** Creates a decision with a copy of the placements. */
    public StartGang {
      placements = List.copyOf(placements);
    }
  }

  /** Stops a gang, after a checkpoint if the job supports it. */
  record StopGang(String jobId, int attempt, StopReason stopReason, String reason)
      implements PlacementDecision {}

  /** Refuses a queued job that can never run. */
  record RefuseJob(String jobId, ResultCode code, String reason) implements PlacementDecision {}

  /** Puts a worker in quarantine: no more tasks start on it. */
  record QuarantineWorker(String worker, String reason) implements PlacementDecision {}

  /** Releases a worker from quarantine on probation: it runs one task at a time at first. */
  record ReleaseWorker(String worker, String reason) implements PlacementDecision {}
}
