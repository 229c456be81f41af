package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.internal.placement.Plan;
import io.dragonflyturn.model.MemberPlacement;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * Baseline policy that starts jobs in arrival order on the first placements that fit and skips jobs
 * that do not fit.
 */
final class FirstFitPolicy implements MeasuredPolicy {
  @Override
  public String name() {
    return "first-fit";
  }

  @Override
  public Plan plan(FleetView view, Instant now) {
    BaselinePlanner planner = new BaselinePlanner(view);
    for (JobView job : planner.queue()) {
      List<MemberPlacement> placements = planner.findPlacements(job);
      if (placements != null) {
        planner.start(job, placements);
      }
    }
    return new Plan(planner.decisions, Map.of(), List.of());
  }
}
