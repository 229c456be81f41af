package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.WorkerSpeed.Grade;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which workers a unit is placed on first, where some run tasks clearly slower than others.
 *
 * <p>The load that it answers: a quarter of the workers takes twice as long, and a gang is as slow
 * as its slowest member, so that an urgent gang with one member on a slow worker is late. Work that
 * would be worth less after a run on a slow worker goes to the fastest workers. Work that can
 * afford it goes to the slowest ones and leaves the others to such work. Either way, the tasks of a
 * gang go to workers alike, if they fit there.
 */
final class UnevenWorkers {
  /** How much longer than expected a run on a slow worker may take without harm. */
  private static final double RUN_TIME_MARGIN = 1.25;

  /** The share of the time won by a faster worker that a unit waits for it. */
  private static final double WAIT_SHARE = 0.5;

  private static final long MAXIMUM_WAIT_MILLIS = 2_000;

  private final PlacementRequest request;
  private final double slowestFactor;

  private UnevenWorkers(PlacementRequest request, double slowestFactor) {
    this.request = request;
    this.slowestFactor = slowestFactor;
  }

  /** Returns the choice for a unit; null if all workers that may run it are alike. */
  static @Nullable UnevenWorkers of(PlacementRequest request, List<Candidate> eligible) {
    boolean alike =
        eligible.isEmpty()
            || eligible.stream().allMatch(each -> each.grade() == eligible.getFirst().grade());
    if (alike) {
      return null;
    }
    double slowest = Double.MAX_VALUE;
    for (Candidate candidate : eligible) {
      slowest = Math.min(slowest, candidate.worker().speed().expectedFactor());
    }
    return new UnevenWorkers(request, slowest);
  }

  /** Returns whether a run on the slowest worker would be worth less to the caller. */
  boolean isHurried() {
    return request.rank() <= UrgencyRanks.URGENT || losesByRunOn(slowestFactor);
  }

  private boolean losesByRunOn(double factor) {
    JobObjective objective = request.objective();
    long slowMillis = (long) (objective.chainMillis() / factor * RUN_TIME_MARGIN);
    return objective.worthAfter(slowMillis) < objective.worthAfter(objective.chainMillis());
  }

  /**
   * Returns whether runs are preempted on these workers even if that costs more than elsewhere: a
   * unit that would be late on a slow worker has no use for room there, but one that merely ends
   * earlier on a fast worker stops nothing for it.
   */
  boolean isWorthPreempting(List<Candidate> group) {
    return isHurried()
        && losesByRunOn(slowestFactor)
        && group.stream().anyMatch(each -> each.grade() == Grade.TYPICAL);
  }

  /**
   * Returns the groups of workers that the unit is placed on, the first that fits all its tasks.
   */
  List<List<Candidate>> groups(List<Candidate> eligible) {
    List<Candidate> preferred =
        eligible.stream().filter(each -> each.isPreferredFor(request)).toList();
    List<Set<Grade>> groups =
        isHurried()
            ? List.of(EnumSet.of(Grade.FAST), EnumSet.of(Grade.FAST, Grade.TYPICAL))
            : List.of(
                EnumSet.of(Grade.SLOW),
                EnumSet.of(Grade.TYPICAL),
                EnumSet.of(Grade.FAST, Grade.TYPICAL));
    List<List<Candidate>> workers = new ArrayList<>();
    for (Set<Grade> group : groups) {
      workers.add(preferred.stream().filter(each -> group.contains(each.grade())).toList());
    }
    return workers;
  }

  /**
   * Returns how long the unit waits for other workers rather than run on those chosen; 0 if it
   * would not be worth more after the wait, or has waited for too long.
   */
  long waitMillis(List<Candidate> chosen) {
    double factor =
        chosen.stream()
            .mapToDouble(each -> each.worker().speed().expectedFactor())
            .min()
            .orElse(1.0);
    JobObjective objective = request.objective();
    long wonMillis = (long) (objective.chainMillis() / factor) - objective.chainMillis();
    long waitMillis =
        Math.min(
            (long) (wonMillis * WAIT_SHARE),
            Math.min(objective.slackMillis(), MAXIMUM_WAIT_MILLIS));
    boolean waits =
        isHurried() && losesByRunOn(factor) && waitMillis > 0 && request.waitedMillis() < wonMillis;
    return waits ? waitMillis : 0;
  }

  /** Returns the workers that are not slow. */
  static List<Candidate> notSlow(List<Candidate> eligible) {
    return eligible.stream().filter(each -> each.grade() != Grade.SLOW).toList();
  }
}
