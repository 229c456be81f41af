package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.PlacementPlan.Preemption;
import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Plans how units get room that do not fit in a round: by waiting for runs that end by themselves,
 * or by preempting less urgent ones.
 *
 * <p>The load that it answers is a burst of urgent gangs on a fleet that is full of short tasks.
 * Within the slack of a gang many of them end by themselves; stopping them at once throws their
 * work away, and what is stopped in one place breaks gangs elsewhere.
 *
 * <p>A unit waits while expected ends suffice within the time that it can wait. Otherwise it
 * preempts at once what is missing, because waiting longer would only make it late.
 */
final class PreemptionPlanner {
  /**
   * The parts of its time for which an urgent unit looks for ends, the shortest first, so that it
   * waits no longer than needed.
   */
  private static final int[] URGENT_WAIT_DIVISORS = {4, 2, 1};

  /** The times within which a unit that preempts nothing looks for places, in milliseconds. */
  private static final long[] RESERVATION_MILLIS = {500, 1_000, 2_000, 4_000, 8_000};

  private final Collection<Candidate> candidates;
  private final Map<String, Preemption> preempted = new LinkedHashMap<>();
  private final Map<String, Long> expectedWaitMillis = new LinkedHashMap<>();
  private final Map<String, List<Candidate>> candidatesByUnit = new HashMap<>();

  /**
   * Creates a planner that has preempted nothing yet.
   *
   * @param candidates all workers of the round
   */
  PreemptionPlanner(Collection<Candidate> candidates) {
    this.candidates = candidates;
  }

  /** Returns the units to preempt, each with the unit that needs its resources. */
  Map<String, Preemption> preempted() {
    return preempted;
  }

  /** Returns how long each unit that waits for expected ends is expected to wait. */
  Map<String, Long> expectedWaitMillis() {
    return expectedWaitMillis;
  }

  /**
   * Reserves resources for a unit that does not fit now: resources of runs that are already being
   * stopped or are expected to end in time, or else those of less urgent runs, which are preempted.
   *
   * @param eligible the workers that may run the unit
   * @return why the unit waits; null if it does not fit even with preemption
   */
  @Nullable WaitCause plan(PlacementRequest request, List<Candidate> eligible) {
    if (usesOnlyIdleRoom(request)) {
      return WaitCause.INSUFFICIENT_RESOURCES;
    }
    List<Candidate> chosenAfterStops =
        PlaceSearch.choose(request, eligible, Candidate::freeAfterStops);
    if (chosenAfterStops != null) {
      reserve(request, chosenAfterStops);
      return WaitCause.PREEMPTING;
    }
    boolean isUrgent = request.rank() <= UrgencyRanks.URGENT;
    if (!isUrgent && !fitsWithPreemption(request, eligible)) {
      return null;
    }
    if (waitsForEnds(request, eligible)) {
      return WaitCause.EXPECTED_ENDS;
    }
    if (isUrgent && !fitsWithPreemption(request, eligible)) {
      return moveForGuarantee(request, eligible);
    }
    VictimPlan plan = chooseVictims(request, eligible);
    if (plan == null) {
      return moveForGuarantee(request, eligible);
    }
    boolean isWorthIt = PreemptionWorth.justifies(request, plan.cost());
    if (!request.mayPreempt() || !isWorthIt) {
      reserveEarliest(request, eligible, plan);
      return isWorthIt ? WaitCause.INSUFFICIENT_RESOURCES : WaitCause.PREEMPTION_NOT_WORTH_IT;
    }
    reserve(request, plan.places());
    preemptFor(request, plan);
    return WaitCause.PREEMPTING;
  }

  /**
   * Has runs within a guarantee moved for a unit within another one, if nothing else makes room.
   *
   * @return why the unit waits; null if it does not fit even so
   */
  private @Nullable WaitCause moveForGuarantee(PlacementRequest request, List<Candidate> eligible) {
    if (!request.isWithinGuarantee()) {
      return null;
    }
    VictimPlan plan = new GuaranteeMoves(request, candidates, candidatesByUnit()).choose(eligible);
    if (plan == null) {
      return null;
    }
    reserve(request, plan.places());
    preemptFor(request, plan);
    return WaitCause.PREEMPTING;
  }

  /** Returns places and victims; on workers that are not slow if the unit would be late there. */
  private @Nullable VictimPlan chooseVictims(PlacementRequest request, List<Candidate> eligible) {
    VictimSearch search = new VictimSearch(request, candidatesByUnit());
    UnevenWorkers uneven = UnevenWorkers.of(request, eligible);
    VictimPlan onFaster =
        uneven != null && uneven.isHurried()
            ? search.choose(UnevenWorkers.notSlow(eligible))
            : null;
    return onFaster != null && PreemptionWorth.justifies(request, onFaster.cost())
        ? onFaster
        : search.choose(eligible);
  }

  /** Returns whether a unit takes no room that others could use. */
  private static boolean usesOnlyIdleRoom(PlacementRequest request) {
    boolean isHopeless = request.tier() == ServiceTier.HOPELESS && !request.isWithinGuarantee();
    return isHopeless || request.exceedsRate();
  }

  /** Reserves the places that are free first without preemption, or those of a plan. */
  private static void reserveEarliest(
      PlacementRequest request, List<Candidate> eligible, VictimPlan plan) {
    for (long withinMillis : RESERVATION_MILLIS) {
      List<Candidate> chosen =
          PlaceSearch.choose(request, eligible, candidate -> candidate.freeAfterEnds(withinMillis));
      if (chosen != null) {
        reserve(request, chosen);
        return;
      }
    }
    reserve(request, plan.places());
  }

  /**
   * Returns whether a unit fits after preemption. For a less urgent unit expected ends do not
   * count: if there is nothing that it may displace, it waits like all others for what becomes
   * free, and a backlog of such units costs one search.
   */
  private static boolean fitsWithPreemption(PlacementRequest request, List<Candidate> eligible) {
    boolean isUrgent = request.rank() <= UrgencyRanks.URGENT;
    long withinMillis = isUrgent ? request.endWaitMillis() : 0;
    return PlaceSearch.fits(
        request, eligible, candidate -> candidate.freeAfterPreempting(request, withinMillis));
  }

  /** Reserves places that are expected to be free in time. Returns whether there are enough. */
  private boolean waitsForEnds(PlacementRequest request, List<Candidate> eligible) {
    if (request.endWaitMillis() == 0) {
      return false;
    }
    int[] divisors = request.rank() <= UrgencyRanks.URGENT ? URGENT_WAIT_DIVISORS : new int[] {1};
    for (int divisor : divisors) {
      long withinMillis = request.endWaitMillis() / divisor;
      List<Candidate> chosen =
          PlaceSearch.choose(request, eligible, candidate -> candidate.freeAfterEnds(withinMillis));
      if (chosen != null) {
        expectedWaitMillis.put(request.unitKey(), millisUntilFree(request, chosen));
        reserve(request, chosen);
        return true;
      }
    }
    return false;
  }

  /** Returns when the last of the chosen places is expected to be free. */
  private static long millisUntilFree(PlacementRequest request, List<Candidate> chosen) {
    Map<Candidate, Resources> needed = new LinkedHashMap<>();
    for (Candidate candidate : chosen) {
      needed.merge(candidate, request.step().demand(), Resources::plus);
    }
    long latestMillis = 0;
    for (Map.Entry<Candidate, Resources> entry : needed.entrySet()) {
      latestMillis = Math.max(latestMillis, entry.getKey().millisUntilFree(entry.getValue()));
    }
    return latestMillis;
  }

  private static void reserve(PlacementRequest request, List<Candidate> places) {
    places.forEach(candidate -> candidate.reserve(request.step().demand()));
  }

  /** Returns the workers of each unit, which are collected once a round. */
  private Map<String, List<Candidate>> candidatesByUnit() {
    if (candidatesByUnit.isEmpty()) {
      for (Candidate candidate : candidates) {
        for (Allocation allocation : candidate.worker().allocations()) {
          candidatesByUnit
              .computeIfAbsent(allocation.unitKey(), key -> new ArrayList<>())
              .add(candidate);
        }
      }
    }
    return candidatesByUnit;
  }

  private void preemptFor(PlacementRequest request, VictimPlan plan) {
    long won = PreemptionWorth.of(request);
    for (Allocation victim : plan.victims()) {
      preempted.put(
          victim.unitKey(),
          new Preemption(request.unitKey(), victim.preemptionCost(), plan.cost(), won));
      candidatesByUnit()
          .getOrDefault(victim.unitKey(), List.of())
          .forEach(each -> each.markStopping(victim.unitKey()));
    }
  }
}
