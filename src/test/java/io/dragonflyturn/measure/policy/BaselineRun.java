package io.dragonflyturn.measure.policy;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.placement.PlacementDecision;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.internal.placement.WorkerView;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What both simpler policies share while they make one plan. */
final class BaselineRun {
  private static final int ATTEMPT_LIMIT = 10;

  final List<PlacementDecision> decisions = new ArrayList<>();
  final FirstFitPlacer placer;
  private final FleetView view;
  private final FirstFitPlacer emptyFleet;
  private final Map<Shape, Boolean> possible = new HashMap<>();
  private final Set<Shape> misfits = new HashSet<>();

  BaselineRun(FleetView view) {
    this.view = view;
    Set<String> open = new HashSet<>();
    for (FailureDomain domain : view.configuration().failureDomains()) {
      if (domain.acceptsStarts()) {
        open.add(domain.name());
      }
    }
    List<Worker> all = view.workers().stream().map(WorkerView::worker).toList();
    emptyFleet = new FirstFitPlacer(all);
    placer =
        new FirstFitPlacer(
            all.stream().filter(worker -> open.contains(worker.failureDomain())).toList());
    view.jobs().forEach(job -> placer.take(job.placements()));
  }

  /** Returns the queued jobs that can run, in arrival order; refuses the others. */
  List<JobView> queue() {
    List<JobView> queue = new ArrayList<>();
    for (JobView job : view.jobs()) {
      if (job.phase() != AllocationPhase.QUEUED) {
        continue;
      }
      if (!isPossible(job.specification().shape())) {
        refuse(job, ResultCode.IMPOSSIBLE_SHAPE);
      } else if (job.attempt() >= ATTEMPT_LIMIT && !job.failedWorkers().isEmpty()) {
        refuse(job, ResultCode.RUN_AND_FAILED);
      } else {
        queue.add(job);
      }
    }
    queue.sort(Comparator.comparing(JobView::submittedAt).thenComparing(JobView::id));
    return queue;
  }

  /** Returns places that are free now, or null. */
  @Nullable List<MemberPlacement> fit(JobView job) {
    Shape shape = job.specification().shape();
    if (misfits.contains(shape)) {
      return null;
    }
    Set<String> failed = Set.copyOf(job.failedWorkers());
    List<MemberPlacement> placements = placer.place(shape, name -> !failed.contains(name));
    if (placements == null && failed.isEmpty()) {
      misfits.add(shape);
    }
    return placements;
  }

  void start(JobView job, List<MemberPlacement> placements) {
    placer.take(placements);
    decisions.add(new PlacementDecision.StartGang(job.id(), job.attempt() + 1, placements, "fits"));
  }

  private boolean isPossible(Shape shape) {
    return possible.computeIfAbsent(shape, key -> emptyFleet.place(key, name -> true) != null);
  }

  private void refuse(JobView job, ResultCode code) {
    decisions.add(new PlacementDecision.RefuseJob(job.id(), code, "cannot run"));
  }
}
