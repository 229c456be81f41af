package io.dragonflyturn.internal.gang;

import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import java.util.List;

/**
 * Receives what happens to gangs. Called without locks held, from several threads; must not block.
 *
 * <p>Ends are repeated at intervals until the gang is no longer held, so that a lost record is
 * proposed again.
 */
public interface GangListener {
  /** Every member of the attempt runs. */
  void gangStarted(String jobId, int attempt);

  /**
   * The attempt has ended on every member, and its places are free.
   *
   * @param completedSeconds the work that is kept, in seconds of the job's time
   * @param failedWorkers workers whose member failed
   */
  void gangEnded(
      String jobId,
      int attempt,
      GangOutcome outcome,
      double completedSeconds,
      List<String> failedWorkers);

  /** A member did not start in time or is lost; the attempt is being stopped. */
  void memberLost(String jobId, int attempt, String worker, StopReason reason);

  /** A worker has seen a higher term: the sender no longer leads. */
  void fenced(String worker);
}
