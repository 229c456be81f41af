package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.placement.Plan;
import java.time.Instant;

/** Adapts {@link PlacementPolicy}, the policy of this project, to {@link MeasuredPolicy}. */
final class DragonflyturnPolicy implements MeasuredPolicy {
  private final PlacementPolicy policy = new PlacementPolicy();

  @Override
  public String name() {
    return "dragonflyturn";
  }

  @Override
  public Plan plan(FleetView view, Instant now) {
    return policy.plan(view, now);
  }
}
