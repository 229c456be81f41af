package io.dragonflyturn.internal.entry;

import io.dragonflyturn.internal.http.Health;
import io.dragonflyturn.internal.protocol.RoutingView;

/** Determines the health status that an entry reports to the load balancer. */
final class EntryHealth {
  private volatile boolean wasFresh;

  /**
   * Returns the current health status.
   *
   * <p>An entry without slots or without fresh control state would refuse every caller although
   * other entries could serve them, so it reports {@link Health#STARTING}. An entry whose control
   * state was fresh once stays {@link Health#OK} when the state becomes stale; otherwise a log
   * outage that affects all replicas would remove every entry from the load balancer.
   *
   * @param view the latest routing view
   * @param controlStateFresh whether the control state is within the freshness bound
   * @param draining whether the entry is shutting down
   */
  Health update(RoutingView view, boolean controlStateFresh, boolean draining) {
    if (controlStateFresh) {
      wasFresh = true;
    }
    if (draining) {
      return Health.DRAINING;
    }
    boolean notReady = view.version() < 0 || !wasFresh;
    boolean hasTargets = view.targets().stream().anyMatch(worker -> !worker.leaving());
    boolean hasSlots = view.credits().values().stream().anyMatch(count -> count > 0);
    return notReady || (hasTargets && !hasSlots) ? Health.STARTING : Health.OK;
  }
}
