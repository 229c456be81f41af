package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.FleetView;
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
 * Baseline policy with EASY backfilling: the first job that does not fit reserves the earliest
 * placements according to declared run times, and later jobs start only if they do not delay it
 * according to their declared run times.
 */
final class BackfillPolicy implements MeasuredPolicy {
  @Override
  public String name() {
    return "backfill-declared";
  }

  @Override
  public Plan plan(FleetView view, Instant now) {
    BaselinePlanner planner = new BaselinePlanner(view);
    Reservation reservation = null;
    for (JobView job : planner.queue()) {
      List<MemberPlacement> placements = planner.findPlacements(job);
      if (placements != null && mayStart(job, placements, reservation, now)) {
        planner.start(job, placements);
      } else if (placements == null && reservation == null) {
        reservation = reserve(planner, view, job, now);
      }
    }
    return new Plan(planner.decisions, Map.of(), List.of());
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
      BaselinePlanner planner, FleetView view, JobView job, Instant now) {
    List<JobView> running =
        view.jobs().stream()
            .filter(active -> active.phase() != AllocationPhase.QUEUED)
            .sorted(Comparator.comparing(active -> declaredEnd(active, now)))
            .toList();
    int low = 1;
    int high = running.size();
    Reservation earliest = null;
    while (low <= high) {
      int middle = (low + high) / 2;
      Reservation reservation = reservationAfter(planner, running.subList(0, middle), job, now);
      if (reservation == null) {
        low = middle + 1;
      } else {
        earliest = reservation;
        high = middle - 1;
      }
    }
    return earliest;
  }

  private static @Nullable Reservation reservationAfter(
      BaselinePlanner planner, List<JobView> ended, JobView job, Instant now) {
    FirstFitPlacer placer = new FirstFitPlacer(planner.placer);
    ended.forEach(active -> placer.release(active.placements()));
    Set<String> failedWorkers = Set.copyOf(job.failedWorkers());
    List<MemberPlacement> placements =
        placer.place(job.specification().shape(), name -> !failedWorkers.contains(name));
    if (placements == null) {
      return null;
    }
    Set<String> workers =
        placements.stream().map(MemberPlacement::worker).collect(Collectors.toSet());
    return new Reservation(declaredEnd(ended.get(ended.size() - 1), now), workers);
  }

  private static Instant declaredEnd(JobView job, Instant now) {
    Instant started = job.startedAt() == null ? now : job.startedAt();
    double durationSeconds = job.specification().declaredSeconds();
    Instant end = started.plusMillis((long) (durationSeconds * 1_000));
    return end.isAfter(now) ? end : now.plusSeconds(1);
  }

  private record Reservation(Instant startsAt, Set<String> workers) {
    boolean overlaps(List<MemberPlacement> placements) {
      return placements.stream().anyMatch(placement -> workers.contains(placement.worker()));
    }
  }
}
