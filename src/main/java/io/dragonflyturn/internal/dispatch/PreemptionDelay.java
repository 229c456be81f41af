package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.QueuePolicy;

/**
 * How long a unit can wait for room before runs of less urgent jobs are stopped for it.
 *
 * <p>Answers bursts of large jobs of middle urgency: stopping small runs for each of them at once
 * throws away more work than the wait costs, as long as the objective leaves time to wait.
 */
final class PreemptionDelay {
  /** The share of the time to slackMillis that a unit may wait. */
  private static final double SLACK_SHARE = 0.3;

  private PreemptionDelay() {}

  /** Returns the wait in milliseconds; none for the most urgent jobs. */
  static long of(WorkUnit unit) {
    QueuePolicy queue = unit.job().submission().queue();
    if (queue.priority() == 0) {
      return 0;
    }
    double slackMillis = Math.max(0, queue.stretch() - 1) * unit.step().estimateMillis();
    return (long) (slackMillis * SLACK_SHARE);
  }
}
