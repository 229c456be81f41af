package io.dragonflyturn.internal.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Orders waiting jobs by what their waiting costs callers, for fleets with more work than room. In
 * the order of acceptance, a backlog is served oldest first, so that every job is served just after
 * it has become late.
 *
 * <p>Ranks are served one after the other. Within a rank, jobs that complete on time if they are
 * served now come first, the one that can wait the least before the others. If all of them together
 * do not complete on time, the largest one yields to the smaller ones, unless it has begun or has
 * waited for longer than it still can; this leaves the fewest jobs late (Moore's rule). Jobs that
 * are late or would be follow in the same way by the end of their use, and then those whose
 * completion serves nobody, in the order of acceptance.
 *
 * <p>Within a tier, jobs that have begun are finished before others begin.
 */
public final class WaitingOrder {
  private static final Comparator<WaitingJob> BEGUN_FIRST =
      Comparator.comparing(WaitingJob::begun).reversed();

  private final FleetRoom room;
  private final List<Turn> turns = new ArrayList<>();
  private final Map<String, Double> waitMillisByService = new HashMap<>();

  private WaitingOrder(FleetRoom room) {
    this.room = room;
  }

  /**
   * The place of a job in the order.
   *
   * @param tier what its waiting costs the caller, with regard to the jobs before it
   */
  public record Turn(WaitingJob job, ServiceTier tier) {}

  /**
   * Returns the order in which jobs are served.
   *
   * @param jobs the waiting jobs in the order of acceptance
   * @param room the room of the fleet
   */
  public static List<Turn> of(Collection<WaitingJob> jobs, FleetRoom room) {
    WaitingOrder order = new WaitingOrder(room);
    Map<Integer, Map<String, List<WaitingJob>>> jobsByRank = new TreeMap<>();
    for (WaitingJob job : jobs) {
      jobsByRank
          .computeIfAbsent(job.rank(), rank -> new TreeMap<>())
          .computeIfAbsent(job.service(), service -> new ArrayList<>())
          .add(job);
    }
    jobsByRank.forEach(
        (rank, jobsByService) ->
            jobsByService.forEach((service, group) -> order.add(rank, service, group)));
    return order.turns;
  }

  private void add(int rank, String service, List<WaitingJob> jobs) {
    double queuedMillis = waitMillisByService.getOrDefault(service, 0.0);
    double waitMillis = queuedMillis + room.occupiedMillis(service, rank);
    List<WaitingJob> timely = new ArrayList<>();
    List<WaitingJob> late = new ArrayList<>();
    List<WaitingJob> hopeless = new ArrayList<>();
    for (WaitingJob job : jobs) {
      ServiceTier tier = job.endless() ? ServiceTier.TIMELY : job.objective().tier();
      List<WaitingJob> others = tier == ServiceTier.HOPELESS ? hopeless : late;
      (tier == ServiceTier.TIMELY ? timely : others).add(job);
    }
    Selection onTime = new Selection(timely, waitMillis, JobObjective::onTimeMillis);
    late.addAll(onTime.yielding);
    Selection useful = new Selection(late, onTime.endMillis, JobObjective::usefulMillis);
    addAll(onTime.served, ServiceTier.TIMELY);
    addAll(useful.served, ServiceTier.LATE);
    addAll(useful.yielding, ServiceTier.LATE);
    addAll(hopeless, ServiceTier.HOPELESS);
    double rankMillis = jobs.stream().mapToDouble(WaitingJob::roomMillis).sum();
    waitMillisByService.put(service, queuedMillis + rankMillis);
  }

  private void addAll(List<WaitingJob> jobs, ServiceTier tier) {
    jobs.forEach(job -> turns.add(new Turn(job, tier)));
  }

  /** Divides jobs into those that complete within a bound if served in turn, and the others. */
  private static final class Selection {
    private final ToLongFunction<JobObjective> bound;
    private final List<WaitingJob> served = new ArrayList<>();
    private final List<WaitingJob> yielding = new ArrayList<>();
    private final PriorityQueue<WaitingJob> largestFirst =
        new PriorityQueue<>(Comparator.comparingDouble(WaitingJob::roomMillis).reversed());
    private double endMillis;

    Selection(List<WaitingJob> jobs, double waitMillis, ToLongFunction<JobObjective> bound) {
      this.bound = bound;
      this.endMillis = waitMillis;
      List<WaitingJob> ordered = new ArrayList<>(jobs);
      ordered.sort(BEGUN_FIRST.thenComparingLong(this::latestStartMillis));
      Set<WaitingJob> yielded = new HashSet<>();
      ordered.forEach(job -> add(job, yielded));
      ordered.forEach(job -> (yielded.contains(job) ? yielding : served).add(job));
    }

    private long latestStartMillis(WaitingJob job) {
      return bound.applyAsLong(job.objective()) - job.objective().chainMillis();
    }

    private void add(WaitingJob job, Set<WaitingJob> yielded) {
      double runMillis = Math.max((double) job.objective().certainMillis(), job.roomMillis());
      boolean inTime = endMillis + runMillis <= bound.applyAsLong(job.objective());
      endMillis += job.roomMillis();
      if (job.mayYield()) {
        largestFirst.add(job);
      }
      if (inTime || job.begun() || job.endless()) {
        return;
      }
      WaitingJob largest = largestFirst.peek();
      boolean largerYields = largest != null && largest.roomMillis() >= job.roomMillis();
      WaitingJob yields = largerYields ? largestFirst.remove() : job;
      endMillis -= yields.roomMillis();
      yielded.add(yields);
    }
  }
}
