package io.dragonflyturn.measure.policy;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.internal.placement.PlacementDecision;
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

/** Builds one plan for the baseline policies: queue order, first-fit placement and refusals. */
final class BaselinePlanner {
  private static final int MAXIMUM_ATTEMPTS = 10;

  final List<PlacementDecision> decisions = new ArrayList<>();
  final FirstFitPlacer placer;
  private final FleetView view;
  private final FirstFitPlacer idleFleet;
  private final Map<Shape, Boolean> feasibleByShape = new HashMap<>();
  private final Set<Shape> unplaceable = new HashSet<>();

  BaselinePlanner(FleetView view) {
    this.view = view;
    Set<String> domainsInService = new HashSet<>();
    for (FailureDomain domain : view.configuration().failureDomains()) {
      if (domain.acceptsStarts()) {
        domainsInService.add(domain.name());
      }
    }
    List<Worker> allWorkers = view.workers().stream().map(WorkerView::worker).toList();
    idleFleet = new FirstFitPlacer(allWorkers);
    placer =
        new FirstFitPlacer(
            allWorkers.stream()
                .filter(worker -> domainsInService.contains(worker.failureDomain()))
                .toList());
    view.jobs().forEach(job -> placer.allocate(job.placements()));
  }

  /** Returns the queued jobs that can run, in arrival order, and refuses the others. */
  List<JobView> queue() {
    List<JobView> queue = new ArrayList<>();
    for (JobView job : view.jobs()) {
      if (job.phase() != AllocationPhase.QUEUED) {
        continue;
      }
      if (!isFeasible(job.specification().shape())) {
        refuse(job, ResultCode.IMPOSSIBLE_SHAPE);
      } else if (job.attempt() >= MAXIMUM_ATTEMPTS && !job.failedWorkers().isEmpty()) {
        refuse(job, ResultCode.RUN_AND_FAILED);
      } else {
        queue.add(job);
      }
    }
    queue.sort(Comparator.comparing(JobView::submittedAt).thenComparing(JobView::id));
    return queue;
  }

  /** Returns placements on free accelerators, or null if the job does not fit now. */
  @Nullable List<MemberPlacement> findPlacements(JobView job) {
    Shape shape = job.specification().shape();
    if (unplaceable.contains(shape)) {
      return null;
    }
    Set<String> failedWorkers = Set.copyOf(job.failedWorkers());
    List<MemberPlacement> placements = placer.place(shape, name -> !failedWorkers.contains(name));
    if (placements == null && failedWorkers.isEmpty()) {
      unplaceable.add(shape);
    }
    return placements;
  }

  void start(JobView job, List<MemberPlacement> placements) {
    placer.allocate(placements);
    decisions.add(new PlacementDecision.StartGang(job.id(), job.attempt() + 1, placements, "fits"));
  }

  private boolean isFeasible(Shape shape) {
    return feasibleByShape.computeIfAbsent(
        shape, key -> idleFleet.place(key, name -> true) != null);
  }

  private void refuse(JobView job, ResultCode code) {
    decisions.add(new PlacementDecision.RefuseJob(job.id(), code, "cannot run"));
  }
}
