package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.internal.placement.Plan;
import io.dragonflyturn.model.MemberPlacement;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * EASY backfill: the first job that does not fit is given the earliest places by declared times,
 * and later jobs start only where they do not delay it by their declared times.
 */
final class BackfillPolicy implements PlanningPolicy {
  @Override
  public String name() {
    return "backfill-declared";
  }

  @Override
  public Plan plan(FleetView view, Instant now) {
    BaselineRun run = new BaselineRun(view);
    Reservation reservation = null;
    for (JobView job : run.queue()) {
      List<MemberPlacement> placements = run.fit(job);
      if (placements != null && mayStart(job, placements, reservation, now)) {
        run.start(job, placements);
      } else if (placements == null && reservation == null) {
        reservation = reserve(run, view, job, now);
      }
    }
    return new Plan(run.decisions, Map.of(), List.of());
  }

  private static boolean mayStart(
      JobView job,
      List<MemberPlacement> placements,
      @Nullable Reservation reservation,
      Instant now) {
    if (reservation == null) {
      return true;
    }
    Instant end = now.plusSeconds(job.specification().declaredSeconds());
    return !end.isAfter(reservation.startsAt()) || !reservation.overlaps(placements);
  }

  private static @Nullable Reservation reserve(
      BaselineRun run, FleetView view, JobView job, Instant now) {
    List<JobView> running =
        view.jobs().stream()
            .filter(found -> found.phase() != AllocationPhase.QUEUED)
            .sorted(Comparator.comparing(found -> declaredEnd(found, now)))
            .toList();
    int low = 1;
    int high = running.size();
    Reservation found = null;
    while (low <= high) {
      int middle = (low + high) / 2;
      Reservation reservation = afterEnds(run, running.subList(0, middle), job, now);
      if (reservation == null) {
        low = middle + 1;
      } else {
        found = reservation;
        high = middle - 1;
      }
    }
    return found;
  }

  private static @Nullable Reservation afterEnds(
      BaselineRun run, List<JobView> ended, JobView job, Instant now) {
    FirstFitPlacer placer = new FirstFitPlacer(run.placer);
    ended.forEach(found -> placer.give(found.placements()));
    Set<String> failed = Set.copyOf(job.failedWorkers());
    List<MemberPlacement> placements =
        placer.place(job.specification().shape(), name -> !failed.contains(name));
    if (placements == null) {
      return null;
    }
    Set<String> workers =
        placements.stream().map(MemberPlacement::worker).collect(Collectors.toSet());
    return new Reservation(declaredEnd(ended.get(ended.size() - 1), now), workers);
  }

  private static Instant declaredEnd(JobView job, Instant now) {
    Instant started = job.startedAt() == null ? now : job.startedAt();
    double left = job.specification().declaredSeconds();
    Instant end = started.plusMillis((long) (left * 1_000));
    return end.isAfter(now) ? end : now.plusSeconds(1);
  }

  private record Reservation(Instant startsAt, Set<String> workers) {
    boolean overlaps(List<MemberPlacement> placements) {
      return placements.stream().anyMatch(place -> workers.contains(place.worker()));
    }
  }
}
