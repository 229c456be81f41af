package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the places of a unit and the runs to preempt for them, so that the least work is lost
 * over all workers.
 *
 * <p>The load that it answers is a fleet of gangs: a gang is stopped as a whole, so what one of its
 * members frees on one worker costs all of its work, and frees room on the other workers as well.
 * Places are chosen one after the other; the cost of a unit counts once, and what it frees
 * elsewhere costs nothing from then on. At the end, runs whose room turns out not to be needed are
 * left out.
 */
final class VictimSearch {
  private final PlacementRequest request;
  private final Map<String, List<Candidate>> candidatesByUnit;
  private final Map<Candidate, List<Allocation>> preemptible = new HashMap<>();

  /**
   * Creates a search for a unit.
   *
   * @param candidatesByUnit the workers of each unit that runs, once for each of its members
   */
  VictimSearch(PlacementRequest request, Map<String, List<Candidate>> candidatesByUnit) {
    this.request = request;
    this.candidatesByUnit = candidatesByUnit;
  }

  /**
   * Returns places and victims, by the same rules for racks as {@link PlaceSearch}; null if the
   * unit does not fit even with preemption.
   */
  @Nullable VictimPlan choose(List<Candidate> eligible) {
    String dataRack = request.step().dataRack();
    if (!dataRack.isEmpty()) {
      List<Candidate> onRack =
          eligible.stream().filter(each -> each.worker().rack().equals(dataRack)).toList();
      VictimPlan plan = cheapest(onRack);
      if (plan != null || PlaceSearch.waitsForRack(request, onRack)) {
        return plan;
      }
    }
    if (request.step().singleRack() && request.tasks() > 1) {
      VictimPlan plan = cheapestSingleRack(eligible);
      if (plan != null || PlaceSearch.waitsForRack(request, eligible)) {
        return plan;
      }
    }
    return cheapest(eligible);
  }

  private @Nullable VictimPlan cheapestSingleRack(List<Candidate> eligible) {
    VictimPlan best = null;
    for (List<Candidate> rack : PlaceSearch.racks(eligible)) {
      best = cheaper(best, cheapest(rack));
    }
    return best;
  }

  /**
   * Searches twice: with the whole cost of a gang on the first of its workers, and with its cost
   * spread over its workers, which is better where the unit needs the room of many of its members.
   */
  private @Nullable VictimPlan cheapest(List<Candidate> workers) {
    VictimPlan plan = new Search(workers, false).run();
    boolean mayShareGangs = plan != null && request.tasks() > 1 && !plan.victims().isEmpty();
    return mayShareGangs ? cheaper(plan, new Search(workers, true).run()) : plan;
  }

  private static @Nullable VictimPlan cheaper(
      @Nullable VictimPlan first, @Nullable VictimPlan second) {
    if (first == null || second == null) {
      return first == null ? second : first;
    }
    return second.cost() < first.cost() ? second : first;
  }

  private List<Allocation> preemptibleOn(Candidate candidate) {
    return preemptible.computeIfAbsent(candidate, key -> key.preemptibleFor(request));
  }

  /** A place for some tasks on a worker, and the further victims that it takes. */
  private record Offer(
      Candidate candidate, int copies, List<Allocation> victims, double costPerCopy) {
    static final Comparator<Offer> FREE_FIRST =
        Comparator.comparingDouble(Offer::costPerCopy)
            .thenComparingInt(offer -> -offer.copies)
            .thenComparing(offer -> offer.candidate.id());
  }

  /** A search on some workers. */
  private final class Search {
    private final List<Candidate> workers;
    private final boolean spreadsCost;
    private final Map<Candidate, Offer> offers = new LinkedHashMap<>();
    private final Map<Candidate, Integer> copiesByCandidate = new LinkedHashMap<>();
    private final Map<String, Allocation> victims = new LinkedHashMap<>();
    private int missing = request.tasks();

    Search(List<Candidate> workers, boolean spreadsCost) {
      this.workers = workers;
      this.spreadsCost = spreadsCost;
    }

    @Nullable VictimPlan run() {
      workers.forEach(this::updateOffer);
      while (missing > 0) {
        Offer best = offers.values().stream().min(order()).orElse(null);
        if (best == null) {
          return null;
        }
        accept(best);
      }
      removeUnneeded();
      long cost = victims.values().stream().mapToLong(Allocation::displacementCost).sum();
      return new VictimPlan(places(), List.copyOf(victims.values()), cost);
    }

    private Comparator<Offer> order() {
      return Comparator.comparing((Offer offer) -> !offer.candidate.isPreferredFor(request))
          .thenComparing(Offer.FREE_FIRST);
    }

    private void accept(Offer offer) {
      int copies = Math.min(offer.copies, missing);
      copiesByCandidate.merge(offer.candidate, copies, Integer::sum);
      missing -= copies;
      updateOffer(offer.candidate);
      for (Allocation victim : offer.victims) {
        victims.put(victim.unitKey(), victim);
      }
      for (Allocation victim : offer.victims) {
        membersOf(victim).stream().filter(offers::containsKey).forEach(this::updateOffer);
      }
    }

    private List<Candidate> membersOf(Allocation victim) {
      return candidatesByUnit.getOrDefault(victim.unitKey(), List.of());
    }

    private void updateOffer(Candidate candidate) {
      Offer offer = offer(candidate);
      if (offer == null) {
        offers.remove(candidate);
      } else {
        offers.put(candidate, offer);
      }
    }

    /** Returns the cheapest place on a worker; null if no further task fits. */
    private @Nullable Offer offer(Candidate candidate) {
      int placed = copiesByCandidate.getOrDefault(candidate, 0);
      int free = candidate.copiesThatFit(request, available(candidate)) - placed;
      if (free > 0) {
        return new Offer(candidate, free, List.of(), 0);
      }
      Resources reachable = available(candidate);
      for (Allocation allocation : preemptibleOn(candidate)) {
        boolean isChosen = victims.containsKey(allocation.unitKey());
        reachable = isChosen ? reachable : reachable.plus(allocation.demand());
      }
      int most = Math.min(missing, candidate.copiesThatFit(request, reachable) - placed);
      if (most <= 0) {
        return null;
      }
      Offer one = offer(candidate, placed, 1);
      Offer all = most > 1 ? offer(candidate, placed, most) : one;
      return all.costPerCopy < one.costPerCopy ? all : one;
    }

    private Offer offer(Candidate candidate, int placed, int copies) {
      List<Allocation> further = furtherVictims(candidate, placed + copies);
      double cost = 0;
      for (String unitKey : further.stream().map(Allocation::unitKey).distinct().toList()) {
        cost += cost(further, unitKey);
      }
      return new Offer(candidate, copies, further, cost / copies);
    }

    private double cost(List<Allocation> allocations, String unitKey) {
      long cost =
          allocations.stream()
              .filter(each -> each.unitKey().equals(unitKey))
              .mapToLong(Allocation::displacementCost)
              .max()
              .orElse(0);
      int members = candidatesByUnit.getOrDefault(unitKey, List.of()).size();
      return spreadsCost ? (double) cost / Math.max(1, members) : cost;
    }

    /** Returns the cheapest runs whose end makes room for a number of tasks on a worker. */
    private List<Allocation> furtherVictims(Candidate candidate, int copies) {
      Resources needed = request.step().demand().times(copies);
      Resources available = available(candidate);
      List<Allocation> chosen = new ArrayList<>();
      for (Allocation allocation : preemptibleOn(candidate)) {
        if (available.canFit(needed)) {
          break;
        }
        if (!victims.containsKey(allocation.unitKey())) {
          chosen.add(allocation);
          available = available.plus(allocation.demand());
        }
      }
      for (Allocation allocation : List.copyOf(chosen).reversed()) {
        Resources remaining = available.minus(allocation.demand());
        if (remaining.canFit(needed)) {
          chosen.remove(allocation);
          available = remaining;
        }
      }
      return chosen;
    }

    /** Returns what is free once the expected ends and the chosen victims have ended. */
    private Resources available(Candidate candidate) {
      Resources sum = candidate.freeAfterEnds(request.endWaitMillis());
      for (Allocation allocation : preemptibleOn(candidate)) {
        boolean isChosen = victims.containsKey(allocation.unitKey());
        sum = isChosen ? sum.plus(allocation.demand()) : sum;
      }
      return sum;
    }

    /** Leaves out victims whose room is not needed for the chosen places, the dearest first. */
    private void removeUnneeded() {
      List<Allocation> dearestFirst = new ArrayList<>(victims.values());
      dearestFirst.sort(Comparator.comparingLong(Allocation::displacementCost).reversed());
      for (Allocation victim : dearestFirst) {
        victims.remove(victim.unitKey());
        if (!membersOf(victim).stream().allMatch(this::fitsChosenTasks)) {
          victims.put(victim.unitKey(), victim);
        }
      }
    }

    private boolean fitsChosenTasks(Candidate candidate) {
      int copies = copiesByCandidate.getOrDefault(candidate, 0);
      return copies == 0 || available(candidate).canFit(request.step().demand().times(copies));
    }

    private List<Candidate> places() {
      List<Candidate> places = new ArrayList<>();
      for (Candidate candidate : workers) {
        int copies = copiesByCandidate.getOrDefault(candidate, 0);
        for (int copy = 0; copy < copies; copy++) {
          places.add(candidate);
        }
      }
      return places;
    }
  }
}
