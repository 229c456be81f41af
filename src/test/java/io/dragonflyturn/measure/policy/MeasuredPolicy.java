package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.Plan;
import java.time.Instant;

/** A policy that {@link PolicyMain} measures. */
interface MeasuredPolicy {
  /** Returns the name used in the table and in the JSON output. */
  String name();

  /**
   * Plans from a view of the fleet.
   *
   * @param now the simulated time
   */
  Plan plan(FleetView view, Instant now);
}
