package io.dragonflyturn.internal.gang;

import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import java.util.List;

/**
 * Receives the events of gangs, each with the leadership term in which the driver observed it.
 * Called without locks, from several threads; must not block.
 *
 * <p>{@link #gangEnded} is repeated at intervals until the gang is no longer placed, so that a lost
 * proposal is retried.
 */
public interface GangListener {
  /** Called when all members of an attempt run. */
  void gangStarted(long term, String jobId, int attempt);

  /**
   * Called when an attempt has ended on all members, so that its resources can be released.
   *
   * @param term the leadership term of the driver
   * @param jobId the id of the job
   * @param attempt the attempt number
   * @param outcome how the attempt ended
   * @param completedSeconds the work preserved over all attempts, in seconds of job run time
   * @param failedWorkers the workers on which a member failed
   */
  void gangEnded(
      long term,
      String jobId,
      int attempt,
      GangOutcome outcome,
      double completedSeconds,
      List<String> failedWorkers);

  /** Called when a member is lost or did not start in time. The attempt is being stopped. */
  void memberLost(long term, String jobId, int attempt, String worker, StopReason reason);

  /** Called when a worker has seen a higher term, so this process is no longer the leader. */
  void fenced(String worker);
}
