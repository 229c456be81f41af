package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.QueuePolicy;
import io.dragonflyturn.internal.workload.StepSpecification;

/**
 * Computes how long a unit waits for resources before it preempts runs of less urgent jobs.
 *
 * <p>The delay matters for bursts of large jobs of medium urgency: preempting small runs for each
 * of them immediately wastes more work than the wait costs, as long as the completion time
 * objective leaves enough slack.
 */
public final class PreemptionDelay {
  /** The fraction of its slack that a unit waits. */
  private static final double SLACK_SHARE = 0.3;

  /**
   * The fraction of its slack for which a unit relies on expected ends; the rest is left to stop
   * other runs after all, to start, and for forecasts that are off.
   */
  private static final double END_WAIT_SHARE = 0.4;

  /**
   * The time that is left within a guarantee, beside that of the stops, to store the placement and
   * to send all start orders, in milliseconds.
   */
  private static final long START_RESERVE_MILLIS = 1_200;

  /**
   * The longest wait of less urgent units for expected ends, in milliseconds. The room that a wide
   * unit keeps for itself stands idle meanwhile, and is soon worth more than what it would
   * displace.
   */
  private static final long MAXIMUM_PATIENT_WAIT_MILLIS = 500;

  private PreemptionDelay() {}

  /**
   * Returns how long a unit may still wait for runs to end by themselves, in milliseconds. As it
   * shrinks more slowly than the time passes, an end that is a little late is still waited for.
   *
   * @param ageMillis how long ago the job was accepted
   * @param reclaimMillis the time from the acceptance in which a job within its customer's
   *     guarantee must have begun
   * @param maximumStopMillis how long it takes to stop runs after all
   */
  public static long endWaitMillis(
      int rank,
      JobObjective objective,
      long ageMillis,
      long reclaimMillis,
      long maximumStopMillis) {
    long allowedMillis = objective.slackMillis();
    if (rank == UrgencyRanks.GUARANTEED) {
      long untilReclaimMillis =
          reclaimMillis - ageMillis - maximumStopMillis - START_RESERVE_MILLIS;
      allowedMillis = Math.min(allowedMillis, untilReclaimMillis);
    }
    long waitMillis = (long) (Math.max(0, allowedMillis) * END_WAIT_SHARE);
    return rank <= UrgencyRanks.URGENT
        ? waitMillis
        : Math.min(waitMillis, MAXIMUM_PATIENT_WAIT_MILLIS);
  }

  /** Returns the delay in milliseconds; 0 for jobs of the highest priority. */
  public static long of(QueuePolicy queue, StepSpecification step) {
    if (queue.priority() == 0) {
      return 0;
    }
    double slackMillis = Math.max(0, queue.stretch() - 1) * step.estimateMillis();
    return (long) (slackMillis * SLACK_SHARE);
  }
}
