package io.dragonflyturn.internal.placement;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * The placement policy: decides which jobs start, stop and wait, from a view of the fleet and the
 * current time.
 *
 * <p>Between plans, an instance keeps derived data for speed and the workers that were listed
 * recently, so that jobs which need those workers are not refused. Not thread-safe.
 */
public final class PlacementPolicy {
  private final PolicySettings settings;
  private final BlockTable blockTable = new BlockTable();
  private @Nullable PlanningCache cache;

  /** Creates a policy with {@link PolicySettings#DEFAULT}. */
  public PlacementPolicy() {
    this(PolicySettings.DEFAULT);
  }

  /** Creates a policy with the given settings. */
  public PlacementPolicy(PolicySettings settings) {
    this.settings = settings;
  }

  /**
   * Plans from a view of the fleet. Each decision is valid by itself; the caller may carry out any
   * prefix of the decisions and then plan again.
   *
   * @param view the fleet at one moment
   * @param now the current time
   */
  public Plan plan(FleetView view, Instant now) {
    cache = PlanningCache.update(view, now, cache, blockTable);
    return new PlanBuilder(view, now, settings, blockTable, cache).build();
  }
}
