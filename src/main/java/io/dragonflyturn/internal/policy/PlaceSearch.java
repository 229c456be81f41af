package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Searches workers for the tasks of a unit.
 *
 * <p>If its step prefers a single rack or has its data on one rack, a unit is placed on that rack
 * only, until {@link PlacementRequest#mayWaitForRack} no longer allows it to wait.
 *
 * <p>If some of the workers are clearly slower than others, the groups of {@link UnevenWorkers}
 * come first.
 */
final class PlaceSearch {
  private PlaceSearch() {}

  /**
   * Returns a worker for each task, or null if the tasks do not fit or the unit should wait for its
   * preferred rack.
   */
  static @Nullable List<Candidate> choose(
      PlacementRequest request, List<Candidate> eligible, ResourceView view) {
    UnevenWorkers uneven = UnevenWorkers.of(request, eligible);
    List<Candidate> chosen = uneven == null ? null : chooseBySpeed(request, uneven, eligible, view);
    return chosen != null ? chosen : chooseAnywhere(request, eligible, view);
  }

  /** Returns workers of the first group that fits all tasks; null if there is none. */
  private static @Nullable List<Candidate> chooseBySpeed(
      PlacementRequest request, UnevenWorkers uneven, List<Candidate> eligible, ResourceView view) {
    for (List<Candidate> group : uneven.groups(eligible)) {
      List<Candidate> chosen = chooseOnPreferredRack(request, group, view);
      boolean accepted =
          chosen != null
              && (!needsPreemption(request, chosen, view) || uneven.isWorthPreempting(group));
      if (accepted) {
        return chosen;
      }
    }
    return null;
  }

  private static boolean needsPreemption(
      PlacementRequest request, List<Candidate> chosen, ResourceView view) {
    return chosen.stream().anyMatch(each -> each.preemptionCostFor(request, view.of(each)) > 0);
  }

  /**
   * Returns a worker for each task, all of them on the rack that the unit prefers if it prefers
   * any; null if the tasks do not fit.
   */
  static @Nullable List<Candidate> chooseOnPreferredRack(
      PlacementRequest request, List<Candidate> candidates, ResourceView view) {
    String dataRack = request.step().dataRack();
    if (!dataRack.isEmpty()) {
      return fill(request, onRack(candidates, dataRack), view);
    }
    return request.step().singleRack() && request.tasks() > 1
        ? fillSingleRack(request, candidates, view)
        : fill(request, candidates, view);
  }

  private static List<Candidate> onRack(List<Candidate> candidates, String rack) {
    return candidates.stream().filter(each -> each.worker().rack().equals(rack)).toList();
  }

  private static @Nullable List<Candidate> chooseAnywhere(
      PlacementRequest request, List<Candidate> eligible, ResourceView view) {
    String dataRack = request.step().dataRack();
    if (!dataRack.isEmpty()) {
      List<Candidate> onRack = onRack(eligible, dataRack);
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

  /** Returns whether the unit should wait because it would fit on an empty rack. */
  static boolean waitsForRack(PlacementRequest request, List<Candidate> candidates) {
    return request.mayWaitForRack()
        && racks(candidates).stream().anyMatch(rack -> fitsWhenEmpty(request, rack));
  }

  /**
   * Returns whether all tasks of a unit would fit on the workers if these ran nothing but other
   * runs of its step.
   */
  static boolean fitsWhenEmpty(PlacementRequest request, List<Candidate> candidates) {
    return fits(request, candidates, candidate -> candidate.worker().capacity());
  }

  /** Returns whether a unit can be placed on the workers as they are. */
  static boolean fitsNow(PlacementRequest request, List<Candidate> candidates) {
    return fits(request, candidates, Candidate::free)
        && (request.tasks() == 1 || choose(request, candidates, Candidate::free) != null);
  }

  /** Returns whether all tasks of a unit would fit on the workers with the given resources. */
  static boolean fits(PlacementRequest request, List<Candidate> candidates, ResourceView view) {
    int copies = 0;
    for (Candidate candidate : candidates) {
      copies += candidate.copiesThatFit(request, view.of(candidate));
      if (copies >= request.tasks()) {
        return true;
      }
    }
    return false;
  }

  static Collection<List<Candidate>> racks(List<Candidate> candidates) {
    Map<String, List<Candidate>> racks = new LinkedHashMap<>();
    for (Candidate candidate : candidates) {
      racks.computeIfAbsent(candidate.worker().rack(), rack -> new ArrayList<>()).add(candidate);
    }
    return racks.values();
  }

  /**
   * Returns workers of the rack with the fewest free accelerators among those that fit all tasks;
   * null if no rack does.
   */
  private static @Nullable List<Candidate> fillSingleRack(
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

  /**
   * Returns a worker for each task, or null if not all tasks fit. Uses unhealthy workers and those
   * on which the unit failed last; prefers workers with the lowest preemption cost, for room that
   * is held those that are split already, then those that fit the most tasks, so that few workers
   * are used.
   */
  private static @Nullable List<Candidate> fill(
      PlacementRequest request, List<Candidate> candidates, ResourceView view) {
    /**
     * A worker with the number of tasks that fit on it and the cost of the preemptions they need.
     */
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
        Comparator.comparing((Offer offer) -> !offer.candidate.isPreferredFor(request))
            .thenComparingLong(offer -> offer.preemptionCost)
            .thenComparing(offer -> request.holdsRoom() && !offer.candidate.isSplit())
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

  /** Selects which resources of a worker count as free. */
  @FunctionalInterface
  interface ResourceView {
    Resources of(Candidate candidate);
  }
}
