package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.PlacementPlan;
import io.dragonflyturn.internal.policy.PlacementPlan.PlacedUnit;
import io.dragonflyturn.internal.policy.PlacementPlan.Preemption;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares how long units waited for expected ends with the forecast. Nothing is decided by it, so
 * a new leader begins without it.
 */
final class ForecastWaits {
  private final DispatchContext context;
  private final Map<String, Wait> waits = new HashMap<>();

  ForecastWaits(DispatchContext context) {
    this.context = context;
  }

  /** Records the waits that begin and end with a plan. */
  void record(PlacementPlan plan) {
    plan.expectedWaitMillis().forEach(this::begin);
    plan.placed().forEach(this::end);
    plan.preempted().values().forEach(this::fail);
    waits.keySet().retainAll(plan.waiting().keySet());
  }

  private void begin(String unitKey, long expectedMillis) {
    if (!waits.containsKey(unitKey)) {
      waits.put(unitKey, new Wait(context.nowMillis(), expectedMillis));
      context.metrics().displacement().countForecastWait();
    }
  }

  private void end(PlacedUnit placed) {
    Wait wait = waits.remove(placed.unitKey());
    if (wait != null) {
      long waitedMillis = context.nowMillis() - wait.sinceMillis;
      context.metrics().displacement().recordForecastError(waitedMillis - wait.expectedMillis);
      log(placed.unitKey(), "placed", wait);
    }
  }

  private void fail(Preemption preemption) {
    Wait wait = waits.remove(preemption.preemptor());
    if (wait != null) {
      context.metrics().displacement().countForecastFailed();
      log(preemption.preemptor(), "preempts", wait);
    }
  }

  private void log(String unitKey, String outcome, Wait wait) {
    context
        .events()
        .event("waited-for-ends")
        .with("unit", unitKey)
        .with("outcome", outcome)
        .with("expectedMillis", wait.expectedMillis)
        .with("waitedMillis", context.nowMillis() - wait.sinceMillis)
        .write();
  }

  /** A wait since a time of the monotonic clock, with its forecast. */
  private record Wait(long sinceMillis, long expectedMillis) {}
}
