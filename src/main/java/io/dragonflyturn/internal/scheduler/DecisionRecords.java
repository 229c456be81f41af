package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.placement.Decision;
import io.dragonflyturn.internal.state.ControlRecord;

/** Converts decisions of the placement policy into control records. */
final class DecisionRecords {
  private DecisionRecords() {}

  /**
   * Returns the control record for a decision.
   *
   * @param configurationVersion the version of the configuration that the decision is based on
   */
  static ControlRecord of(Decision decision, long configurationVersion) {
    return switch (decision) {
      case Decision.StartGang start ->
          new ControlRecord.GangReserved(
              start.jobId(),
              start.attempt(),
              start.placements(),
              start.reason(),
              configurationVersion);
      case Decision.StopGang stop ->
          new ControlRecord.GangStopRequested(
              stop.jobId(), stop.attempt(), stop.stopReason(), stop.reason());
      case Decision.RefuseJob refuse ->
          new ControlRecord.JobRefused(refuse.jobId(), refuse.code(), refuse.reason());
      case Decision.QuarantineWorker quarantine ->
          new ControlRecord.WorkerQuarantineChanged(quarantine.worker(), true, quarantine.reason());
      case Decision.ReleaseWorker release ->
          new ControlRecord.WorkerQuarantineChanged(release.worker(), false, release.reason());
    };
  }
}
