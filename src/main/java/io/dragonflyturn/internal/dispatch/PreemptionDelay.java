package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.QueuePolicy;

/**
 * Computes how long a unit waits for resources before it preempts runs of less urgent jobs.
 *
 * <p>The delay matters for bursts of large jobs of medium urgency: preempting small runs for each
 * of them immediately wastes more work than the wait costs, as long as the completion time
 * objective leaves enough slack.
 */
final class PreemptionDelay {
  /** The fraction of its slack that a unit waits. */
  private static final double SLACK_SHARE = 0.3;

  private PreemptionDelay() {}

  /** Returns the delay in milliseconds; 0 for jobs of the highest priority. */
  static long of(WorkUnit unit) {
    QueuePolicy queue = unit.job().submission().queue();
    if (queue.priority() == 0) {
      return 0;
    }
    double slackMillis = Math.max(0, queue.stretch() - 1) * unit.step().estimateMillis();
    return (long) (slackMillis * SLACK_SHARE);
  }
}
