package io.dragonflyturn.internal.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the work that is thrown away, and of the units that wait instead. */
public final class DisplacementMetrics {
  private final MetricRegistry registry;
  private final Counter displacements;
  private final Counter forecastWaits;
  private final Counter forecastsFailed;
  private final Histogram forecastErrorMillis;

  DisplacementMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.displacements = registry.counter("dispatch.displacements");
    this.forecastWaits = registry.counter("dispatch.forecast.waits");
    this.forecastsFailed = registry.counter("dispatch.forecast.failed");
    this.forecastErrorMillis = registry.histogram("dispatch.forecast.error.milliseconds");
  }

  /** Counts a unit that is displaced by a more urgent one. */
  void countDisplacement() {
    displacements.inc();
  }

  /**
   * Counts the work that a stopped run loses.
   *
   * @param cause why the run is stopped, one of a small number of causes
   */
  void countThrownAway(String cause, long coreMillis) {
    registry.counter("dispatch.thrown.away.core.milliseconds." + cause).inc(coreMillis);
  }

  /** Counts a unit that begins to wait for expected ends. */
  void countForecastWait() {
    forecastWaits.inc();
  }

  /** Counts a unit that preempted runs after it had waited for expected ends. */
  void countForecastFailed() {
    forecastsFailed.inc();
  }

  /** Records by how much a unit waited longer than expected; negative if it waited less. */
  void recordForecastError(long millis) {
    forecastErrorMillis.update(millis);
  }
}
