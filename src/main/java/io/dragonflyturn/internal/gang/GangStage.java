package io.dragonflyturn.internal.gang;

import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;

/** The stages of a gang attempt, as seen by the leader that drives it. */
sealed interface GangStage {
  /**
   * The attempt is taken over from an earlier leader, which may have started some members. All
   * workers are polled for their state first.
   */
  record Adopting(long sinceMillis) implements GangStage {}

  /** Reservations are requested on all workers. */
  record Reserving(long sinceMillis) implements GangStage {}

  /** All members are reserved, and run commands are being sent. */
  record Starting(long sinceMillis) implements GangStage {}

  /** All members run or have completed. */
  record Running(long sinceMillis) implements GangStage {}

  /** Stop commands are being sent to all members. */
  record Stopping(GangOutcome outcome, long sinceMillis) implements GangStage {}

  /** No member holds resources any longer. */
  record Ended(GangOutcome outcome) implements GangStage {}
}
