package io.dragonflyturn.internal.gang;

import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import java.util.List;

/** An event that {@link GangStateMachine#advance} produces. */
sealed interface GangEvent {
  /** All members run. */
  record Started() implements GangEvent {}

  /** A member is lost or did not start in time. */
  record MemberLost(String worker, StopReason reason) implements GangEvent {}

  /** All members have ended. */
  record Ended(GangOutcome outcome, double completedSeconds, List<String> failedWorkers)
      implements GangEvent {}
}
