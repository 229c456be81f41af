package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.placement.PlacementDecision;
import io.dragonflyturn.internal.state.ControlRecord;

/** Converts decisions of the placement policy into control records. */
final class DecisionRecords {
  private DecisionRecords() {}

  /**
   * Returns the control record for a decision.
   *
   * @param configurationVersion the version of the configuration that the decision is based on
   */
  static ControlRecord of(PlacementDecision decision, long configurationVersion) {
    return switch (decision) {
      case PlacementDecision.StartGang start ->
          new ControlRecord.GangReserved(
              start.jobId(),
              start.attempt(),
              start.placements(),
              start.reason(),
              configurationVersion);
      case PlacementDecision.StopGang stop ->
          new ControlRecord.GangStopRequested(
              stop.jobId(), stop.attempt(), stop.stopReason(), stop.reason());
      case PlacementDecision.RefuseJob refuse ->
          new ControlRecord.JobRefused(refuse.jobId(), refuse.code(), refuse.reason());
      case PlacementDecision.QuarantineWorker quarantine ->
          new ControlRecord.WorkerQuarantineChanged(quarantine.worker(), true, quarantine.reason());
      case PlacementDecision.ReleaseWorker release ->
          new ControlRecord.WorkerQuarantineChanged(release.worker(), false, release.reason());
    };
  }
}
