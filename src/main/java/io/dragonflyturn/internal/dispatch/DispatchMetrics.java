package io.dragonflyturn.internal.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Metrics of the leader's decisions and orders.
 *
 * @param startsOrdered start orders sent to workers, including retries
 * @param startsFailed start orders that a worker refused or did not answer
 * @param runsStopped runs that the leader stopped, for example to preempt them or because their job
 *     ended
 * @param runsFailed runs that failed
 * @param polls polls of workers, each of which renews a lease and lists the runs
 * @param displacement what displacing runs costs, and how well ends are forecast
 * @param waitMillis the time from a unit becoming ready to its placement, in milliseconds
 * @param roundMillis the duration of a planning round, in milliseconds
 * @param customers the largest customers, as the leader sees them; empty where it does not lead
 * @param slowWorkers the number of workers that run tasks clearly slower than others
 * @param roundPlaced the number of units that a planning round placed
 * @param roundLeft the number of units that a planning round left for the next one, because it had
 *     decided enough
 */
public record DispatchMetrics(
    Counter startsOrdered,
    Counter startsFailed,
    Counter runsStopped,
    Counter runsFailed,
    Counter polls,
    DisplacementMetrics displacement,
    Histogram waitMillis,
    Histogram roundMillis,
    AtomicReference<List<CustomerReport>> customers,
    Counter slowWorkers,
    Histogram roundPlaced,
    Histogram roundLeft) {
  /** Creates the metrics and registers them. */
  public static DispatchMetrics register(MetricRegistry registry) {
    AtomicReference<List<CustomerReport>> customers = new AtomicReference<>(List.of());
    registry.gauge("dispatch.customers", () -> customers::get);
    return new DispatchMetrics(
        registry.counter("dispatch.starts.ordered"),
        registry.counter("dispatch.starts.failed"),
        registry.counter("dispatch.runs.stopped"),
        registry.counter("dispatch.runs.failed"),
        registry.counter("dispatch.holds"),
        new DisplacementMetrics(registry),
        registry.histogram("dispatch.wait.milliseconds"),
        registry.histogram("dispatch.round.milliseconds"),
        customers,
        registry.counter("dispatch.workers.slow"),
        registry.histogram("dispatch.round.placed"),
        registry.histogram("dispatch.round.left"));
  }
}
