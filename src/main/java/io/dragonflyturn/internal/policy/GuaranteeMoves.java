package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Finds whole workers for a unit within a guarantee where only pieces are left: it has small runs
 * within a guarantee moved to room that other work holds.
 *
 * <p>The load that it answers: less urgent work leaves a little free on each worker, small tasks
 * within one guarantee take that, and a task within another guarantee needs a whole worker. No run
 * may be stopped by rank, though the guarantees together are much smaller than the fleet.
 *
 * <p>A run moves only if it needs less than a task of the unit, so that moves come to an end, and
 * only if it fits elsewhere, so that its customer keeps what it is guaranteed.
 */
final class GuaranteeMoves {
  private final PlacementRequest request;
  private final Collection<Candidate> candidates;
  private final Map<String, List<Candidate>> candidatesByUnit;
  private final Map<Candidate, Resources> reachable = new LinkedHashMap<>();
  private final List<Candidate> places = new ArrayList<>();
  private final Map<String, Allocation> stops = new LinkedHashMap<>();

  /**
   * Creates a search for a unit within a guarantee.
   *
   * @param candidates all workers of the round
   * @param candidatesByUnit the workers of each unit that runs, once for each of its members
   */
  GuaranteeMoves(
      PlacementRequest request,
      Collection<Candidate> candidates,
      Map<String, List<Candidate>> candidatesByUnit) {
    this.request = request;
    this.candidates = candidates;
    this.candidatesByUnit = candidatesByUnit;
    for (Candidate candidate : candidates) {
      reachable.put(candidate, candidate.freeAfterPreempting(request, request.endWaitMillis()));
    }
  }

  /** Returns places and the runs to stop and move; null if the unit does not fit even so. */
  @Nullable VictimPlan choose(List<Candidate> eligible) {
    while (places.size() < request.tasks()) {
      Clearing best =
          eligible.stream()
              .map(this::clear)
              .filter(clearing -> clearing != null)
              .min(Clearing.LEAST_MOVED)
              .orElse(null);
      if (best == null) {
        return null;
      }
      accept(best);
    }
    long cost = stops.values().stream().mapToLong(Allocation::displacementCost).sum();
    return new VictimPlan(places, List.copyOf(stops.values()), cost);
  }

  /**
   * What has to go from a worker for one more task of the unit.
   *
   * @param moves the runs that move, with where they fit
   * @param stopped the less urgent runs that are stopped on the worker
   */
  private record Clearing(
      Candidate candidate, Map<Allocation, Candidate> moves, List<Allocation> stopped) {
    static final Comparator<Clearing> LEAST_MOVED =
        Comparator.comparingLong((Clearing clearing) -> cost(clearing.moves.keySet()))
            .thenComparingLong(clearing -> cost(clearing.stopped))
            .thenComparing(clearing -> clearing.candidate.id());

    private static long cost(Collection<Allocation> runs) {
      return runs.stream().mapToLong(Allocation::displacementCost).sum();
    }
  }

  /** Returns the cheapest way to make room for one more task on a worker; null if there is none. */
  private @Nullable Clearing clear(Candidate candidate) {
    Map<Allocation, Candidate> moves = new LinkedHashMap<>();
    Resources room = reachable(candidate);
    for (Allocation run : movableOn(candidate)) {
      if (fitsOneMore(candidate, room)) {
        break;
      }
      Candidate destination = destination(run, candidate, moves);
      if (destination != null) {
        moves.put(run, destination);
        room = room.plus(run.demand());
      }
    }
    if (!fitsOneMore(candidate, room)) {
      return null;
    }
    return new Clearing(candidate, moves, stopsNeeded(candidate, moves.keySet()));
  }

  private boolean fitsOneMore(Candidate candidate, Resources room) {
    long placedHere = places.stream().filter(candidate::equals).count();
    boolean isWithinLimit =
        candidate.copiesThatFit(request, candidate.worker().capacity()) > placedHere;
    return isWithinLimit && room.canFit(request.step().demand());
  }

  /** Returns the runs on a worker that may move, those that lose least work first. */
  private List<Allocation> movableOn(Candidate candidate) {
    List<Allocation> movable = new ArrayList<>();
    for (Allocation run : candidate.worker().allocations()) {
      if (mayMove(candidate, run)) {
        movable.add(run);
      }
    }
    movable.sort(Comparator.comparingLong(Allocation::displacementCost));
    return movable;
  }

  private boolean mayMove(Candidate candidate, Allocation run) {
    boolean isWholeUnit = candidatesByUnit.getOrDefault(run.unitKey(), List.of()).size() == 1;
    boolean isSmaller = run.demand().accelerators() < request.step().demand().accelerators();
    return run.guaranteed()
        && !run.isLasting()
        && isWholeUnit
        && isSmaller
        && !candidate.isStopping(run)
        && !stops.containsKey(run.unitKey());
  }

  /** Returns another worker on which a run fits once less urgent work is stopped there. */
  private @Nullable Candidate destination(
      Allocation run, Candidate from, Map<Allocation, Candidate> movesSoFar) {
    return candidates.stream()
        .filter(to -> to != from && isPossible(run, from, to))
        .filter(to -> roomBeside(movesSoFar, to).canFit(run.demand()))
        .min(Comparator.comparing((Candidate to) -> !to.isSplit()).thenComparing(Candidate::id))
        .orElse(null);
  }

  private static boolean isPossible(Allocation run, Candidate from, Candidate to) {
    return to.worker().healthy() && to.matches(from.worker().service(), run.requiredLabel());
  }

  private Resources roomBeside(Map<Allocation, Candidate> moves, Candidate to) {
    Resources room = reachable(to);
    for (Map.Entry<Allocation, Candidate> move : moves.entrySet()) {
      room = move.getValue() == to ? room.minus(move.getKey().demand()) : room;
    }
    return room;
  }

  /** Returns the less urgent runs on a worker that have to stop for one more task beside moves. */
  private List<Allocation> stopsNeeded(Candidate candidate, Collection<Allocation> moved) {
    Resources available = candidate.freeAfterEnds(request.endWaitMillis());
    for (Allocation run : candidate.worker().allocations()) {
      boolean goes = moved.contains(run) || stops.containsKey(run.unitKey());
      available = goes ? available.plus(run.demand()) : available;
    }
    long placedHere = places.stream().filter(candidate::equals).count();
    Resources needed = request.step().demand().times((int) placedHere + 1);
    List<Allocation> stopped = new ArrayList<>();
    for (Allocation run : candidate.preemptibleFor(request)) {
      if (available.canFit(needed)) {
        break;
      }
      if (!stops.containsKey(run.unitKey())) {
        stopped.add(run);
        available = available.plus(run.demand());
      }
    }
    return stopped;
  }

  private Resources reachable(Candidate candidate) {
    return reachable.getOrDefault(candidate, Resources.NONE);
  }

  private void accept(Clearing clearing) {
    Candidate candidate = clearing.candidate;
    places.add(candidate);
    reserve(candidate, request.step().demand());
    clearing.moves.forEach(
        (run, destination) -> {
          stops.put(run.unitKey(), run);
          reachable.merge(candidate, run.demand(), Resources::plus);
          reserve(destination, run.demand());
        });
    clearing.stopped.forEach(run -> stops.put(run.unitKey(), run));
  }

  private void reserve(Candidate candidate, Resources demand) {
    reachable.put(candidate, reachable(candidate).minus(demand));
  }
}
