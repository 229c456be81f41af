package io.dragonflyturn.internal.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters and histograms of the leader's decisions.
 *
 * @param startsOrdered starts sent to workers
 * @param startsFailed starts that a worker refused or left unanswered
 * @param runsStopped runs stopped so that others could start, or because their job ended
 * @param runsFailed runs that ended as failed
 * @param holds orders that renew a lease and list the runs
 * @param waitMillis from a unit being ready to its start, in milliseconds
 * @param roundMillis the time that one planning round takes, in milliseconds
 */
public record DispatchMetrics(
    Counter startsOrdered,
    Counter startsFailed,
    Counter runsStopped,
    Counter runsFailed,
    Counter polls,
    Histogram waitMillis,
    Histogram roundMillis) {
  /** Registers the metrics. */
  public static DispatchMetrics register(MetricRegistry registry) {
    return new DispatchMetrics(
        registry.counter("dispatch.starts.ordered"),
        registry.counter("dispatch.starts.failed"),
        registry.counter("dispatch.runs.stopped"),
        registry.counter("dispatch.runs.failed"),
        registry.counter("dispatch.holds"),
        registry.histogram("dispatch.wait.milliseconds"),
        registry.histogram("dispatch.round.milliseconds"));
  }
}
