package io.dragonflyturn.internal.scheduler;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** The metrics of a scheduler replica. */
final class SchedulerMetrics {
  final Counter plans;
  final Timer planTime;
  final Counter decisions;
  final Counter decisionsRefused;
  final Counter leadershipTaken;

  SchedulerMetrics(MetricRegistry metrics) {
    plans = metrics.counter("scheduler.plans");
    planTime = metrics.timer("scheduler.plan.time");
    decisions = metrics.counter("scheduler.decisions");
    decisionsRefused = metrics.counter("scheduler.decisions.refused");
    leadershipTaken = metrics.counter("scheduler.leadership.taken");
  }
}
