package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.PlacementPlan.PlacedUnit;
import io.dragonflyturn.internal.dispatch.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.dispatch.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides where waiting units run. Pure: the same fleet and requests give the same plan.
 *
 * <p>Requests are served in their order. A unit whose tasks do not all fit may displace runs of
 * less urgent jobs; the available that they leave stays kept for it. A unit keeps to one rack where its
 * step asks for that or its data lies there, until it has waited as long as its tasks should run.
 */
final class PlacementPlanner {
  private final Map<String, Candidate> candidatesById = new LinkedHashMap<>();
  private final List<PlacedUnit> placed = new ArrayList<>();
  private final Map<String, String> preempted = new LinkedHashMap<>();
  private final Map<String, WaitCause> waiting = new LinkedHashMap<>();
  private final Set<String> reservedForUrgent;
  private final InfeasibleRequests infeasible = new InfeasibleRequests();
  private int searches;

  private PlacementPlanner(Collection<WorkerSnapshot> workers, Set<String> reservedForUrgent) {
    this.reservedForUrgent = reservedForUrgent;
    workers.forEach(worker -> candidatesById.put(worker.id(), new Candidate(worker)));
  }

  /**
   * Plans one round.
   *
   * @param reservedForUrgent the workers that take only urgent jobs, where others can run elsewhere
   */
  static PlacementPlan plan(
      Collection<WorkerSnapshot> workers, Set<String> reservedForUrgent, List<PlacementRequest> requests) {
    PlacementPlanner planner = new PlacementPlanner(workers, reservedForUrgent);
    requests.forEach(planner::plan);
    return new PlacementPlan(planner.placed, planner.preempted, planner.waiting, planner.searches);
  }

  private void plan(PlacementRequest request) {
    if (infeasible.isInfeasible(request)) {
      waiting.put(request.unitKey(), WaitCause.INSUFFICIENT_RESOURCES);
      return;
    }
    searches++;
    List<Candidate> eligible = eligible(request);
    if (eligible.isEmpty()) {
      waiting.put(request.unitKey(), WaitCause.NO_ELIGIBLE_WORKER);
      return;
    }
    List<Candidate> chosen = choose(request, eligible, Candidate::free);
    if (chosen != null) {
      chosen.forEach(candidate -> candidate.place(request));
      placed.add(new PlacedUnit(request.unitKey(), chosen.stream().map(Candidate::id).toList()));
      return;
    }
    waiting.put(request.unitKey(), planPreemption(request, eligible));
  }

  private List<Candidate> eligible(PlacementRequest request) {
    List<Candidate> eligible = new ArrayList<>();
    List<Candidate> fallback = new ArrayList<>();
    for (Candidate candidate : candidatesById.values()) {
      if (!candidate.matches(request)) {
        continue;
      }
      boolean preferred = candidate.worker.healthy() && !request.failedWorkers().contains(candidate.id());
      (preferred ? eligible : fallback).add(candidate);
    }
    return excludeReserved(request, eligible.isEmpty() ? fallback : eligible);
  }

  /** Leaves workers that are kept for urgent jobs out, unless the unit could then never run. */
  private List<Candidate> excludeReserved(PlacementRequest request, List<Candidate> eligible) {
    if (request.priority() <= UrgencyRanks.URGENT || reservedForUrgent.isEmpty()) {
      return eligible;
    }
    List<Candidate> others =
        eligible.stream().filter(each -> !reservedForUrgent.contains(each.id())).toList();
    return fitsWhenEmpty(request, others) ? others : eligible;
  }

  /** Keeps available for a unit by stopping runs of less urgent jobs, or by waiting for such stops. */
  private WaitCause planPreemption(PlacementRequest request, List<Candidate> eligible) {
    List<Candidate> chosenAfterStops = choose(request, eligible, Candidate::freeAfterStops);
    if (chosenAfterStops != null) {
      chosenAfterStops.forEach(candidate -> candidate.reserve(request.step().demand()));
      return WaitCause.PREEMPTING;
    }
    List<Candidate> chosenAfterPreempting =
        choose(request, eligible, candidate -> candidate.freeAfterPreempting(request.priority()));
    if (chosenAfterPreempting == null) {
      infeasible.add(request);
      return WaitCause.INSUFFICIENT_RESOURCES;
    }
    chosenAfterPreempting.forEach(candidate -> candidate.reserve(request.step().demand()));
    if (!request.mayPreempt()) {
      return WaitCause.INSUFFICIENT_RESOURCES;
    }
    chosenAfterPreempting.forEach(candidate -> preemptFor(candidate, request));
    return WaitCause.PREEMPTING;
  }

  private void preemptFor(Candidate candidate, PlacementRequest request) {
    for (Allocation victim : candidate.victimsFor(Resources.NONE, request.priority())) {
      if (preempted.putIfAbsent(victim.unitKey(), request.unitKey()) == null) {
        candidatesById.values().forEach(each -> each.markStopping(victim.unitKey()));
      }
    }
  }

  private @Nullable List<Candidate> choose(PlacementRequest request, List<Candidate> eligible, ResourceView view) {
    String dataRack = request.step().dataRack();
    if (!dataRack.isEmpty()) {
      List<Candidate> onRack =
          eligible.stream().filter(each -> each.worker.rack().equals(dataRack)).toList();
      List<Candidate> chosen = fill(request, onRack, view);
      if (chosen != null || waitsForRack(request, onRack)) {
        return chosen;
      }
    }
    if (request.step().singleRack() && request.tasks() > 1) {
      List<Candidate> chosen = fillSingleRack(request, eligible, view);
      if (chosen != null || waitsForRack(request, eligible)) {
        return chosen;
      }
    }
    return fill(request, eligible, view);
  }

  /** Says whether a rack that could hold the unit, were it empty, is worth waiting for. */
  private static boolean waitsForRack(PlacementRequest request, List<Candidate> candidates) {
    return request.mayWaitForRack()
        && racks(candidates).stream().anyMatch(rack -> fitsWhenEmpty(request, rack));
  }

  /** Says whether all tasks of a unit would fit if nothing else ran on the workers. */
  private static boolean fitsWhenEmpty(PlacementRequest request, List<Candidate> candidates) {
    int copies = 0;
    for (Candidate candidate : candidates) {
      copies += candidate.copiesThatFit(request, candidate.worker.capacity());
    }
    return copies >= request.tasks();
  }

  private static Collection<List<Candidate>> racks(List<Candidate> candidates) {
    Map<String, List<Candidate>> racks = new LinkedHashMap<>();
    for (Candidate candidate : candidates) {
      racks.computeIfAbsent(candidate.worker.rack(), rack -> new ArrayList<>()).add(candidate);
    }
    return racks.values();
  }

  private @Nullable List<Candidate> fillSingleRack(
      PlacementRequest request, List<Candidate> eligible, ResourceView view) {
    List<Candidate> best = null;
    long bestFreeAccelerators = Long.MAX_VALUE;
    for (List<Candidate> rack : racks(eligible)) {
      List<Candidate> chosen = fill(request, rack, view);
      long freeAccelerators = rack.stream().mapToLong(each -> view.of(each).accelerators()).sum();
      if (chosen != null && freeAccelerators < bestFreeAccelerators) {
        best = chosen;
        bestFreeAccelerators = freeAccelerators;
      }
    }
    return best;
  }

  /** Returns a worker for each task, fewest workers first; null where not all tasks fit. */
  private static @Nullable List<Candidate> fill(
      PlacementRequest request, List<Candidate> candidates, ResourceView view) {
    record Offer(Candidate candidate, int copies, Resources free, long preemptionCost) {}

    List<Offer> offers = new ArrayList<>();
    for (Candidate candidate : candidates) {
      Resources free = view.of(candidate);
      int copies = candidate.copiesThatFit(request, free);
      if (copies > 0) {
        offers.add(new Offer(candidate, copies, free, candidate.preemptionCostFor(request, free)));
      }
    }
    Comparator<Offer> order =
        Comparator.comparingLong((Offer offer) -> offer.preemptionCost)
            .thenComparingInt(offer -> -Math.min(offer.copies, request.tasks()))
            .thenComparingInt(offer -> offer.free.accelerators())
            .thenComparingLong(offer -> offer.free.processorMillis())
            .thenComparing(offer -> offer.candidate.id());
    offers.sort(order);
    List<Candidate> chosen = new ArrayList<>();
    for (Offer offer : offers) {
      for (int copy = 0; copy < offer.copies && chosen.size() < request.tasks(); copy++) {
        chosen.add(offer.candidate);
      }
    }
    return chosen.size() == request.tasks() ? chosen : null;
  }

  /** The available of a worker that a choice counts on. */
  @FunctionalInterface
  private interface ResourceView {
    Resources of(Candidate candidate);
  }

  /** A worker with what this round has taken from it. */
  private static final class Candidate {
    private final WorkerSnapshot worker;
    private final Set<String> stoppingUnits = new HashSet<>();
    private final Map<String, Integer> placedOfStep = new HashMap<>();
    private Resources free;

    Candidate(WorkerSnapshot worker) {
      this.worker = worker;
      this.free = worker.capacity();
      for (Allocation allocation : worker.allocations()) {
        reserve(allocation.demand());
        if (allocation.stopping()) {
          stoppingUnits.add(allocation.unitKey());
        }
      }
    }

    String id() {
      return worker.id();
    }

    Resources free() {
      return free;
    }

    void reserve(Resources demand) {
      free = free.minus(demand);
    }

    /** Takes the available of one task, and counts it towards the step's limit on this worker. */
    void place(PlacementRequest request) {
      reserve(request.step().demand());
      placedOfStep.merge(request.stepKey(), 1, Integer::sum);
    }

    void markStopping(String unit) {
      stoppingUnits.add(unit);
    }

    Resources freeAfterStops() {
      Resources sum = free;
      for (Allocation allocation : worker.allocations()) {
        sum = stoppingUnits.contains(allocation.unitKey()) ? sum.plus(allocation.demand()) : sum;
      }
      return sum;
    }

    Resources freeAfterPreempting(int priority) {
      Resources sum = free;
      for (Allocation allocation : worker.allocations()) {
        boolean goes = stoppingUnits.contains(allocation.unitKey()) || allocation.priority() > priority;
        sum = goes ? sum.plus(allocation.demand()) : sum;
      }
      return sum;
    }

    /** Returns the work that is thrown away when a available is made free for one task of a unit. */
    long preemptionCostFor(PlacementRequest request, Resources available) {
      if (available.equals(free) || available.equals(freeAfterStops())) {
        return 0;
      }
      return victimsFor(request.step().demand(), request.priority()).stream()
          .mapToLong(Allocation::preemptionCost)
          .sum();
    }

    /** Returns the runs to stop for a available: the least urgent first, then those that lose least. */
    List<Allocation> victimsFor(Resources needed, int priority) {
      List<Allocation> victims = new ArrayList<>();
      Resources available = freeAfterStops();
      for (Allocation allocation : preemptible(priority)) {
        if (available.canFit(needed)) {
          break;
        }
        victims.add(allocation);
        available = available.plus(allocation.demand());
      }
      for (Allocation victim : List.copyOf(victims).reversed()) {
        Resources without = available.minus(victim.demand());
        if (without.canFit(needed)) {
          victims.remove(victim);
          available = without;
        }
      }
      return victims;
    }

    private List<Allocation> preemptible(int priority) {
      List<Allocation> candidates = new ArrayList<>();
      for (Allocation allocation : worker.allocations()) {
        if (allocation.priority() > priority && !stoppingUnits.contains(allocation.unitKey())) {
          candidates.add(allocation);
        }
      }
      candidates.sort(
          Comparator.comparing(Allocation::priority).reversed().thenComparing(Allocation::preemptionCost));
      return candidates;
    }

    boolean matches(PlacementRequest request) {
      StepSpecification step = request.step();
      return worker.service().equals(request.service())
          && (step.requiredLabel().isEmpty() || worker.labels().contains(step.requiredLabel()));
    }

    int copiesThatFit(PlacementRequest request, Resources available) {
      int limit = request.tasks();
      int perWorker = request.step().maximumPerWorker();
      if (perWorker > 0) {
        int earlier = request.stepRunsByWorker().getOrDefault(id(), 0);
        int inThisRound = placedOfStep.getOrDefault(request.stepKey(), 0);
        limit = Math.min(limit, perWorker - earlier - inThisRound);
      }
      return available.copiesThatFit(request.step().demand(), limit);
    }
  }
}
