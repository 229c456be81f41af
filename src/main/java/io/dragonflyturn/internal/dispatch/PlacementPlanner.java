package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.PlacementPlan.Placed;
import io.dragonflyturn.internal.dispatch.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.dispatch.WorkerSpace.Occupant;
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
 * less urgent jobs; the room that they leave stays kept for it. A unit keeps to one rack where its
 * step asks for that or its data lies there, until it has waited as long as its tasks should run.
 */
final class PlacementPlanner {
  private final Map<String, Space> spaces = new LinkedHashMap<>();
  private final List<Placed> placed = new ArrayList<>();
  private final Map<String, String> stopped = new LinkedHashMap<>();
  private final Map<String, WaitCause> waiting = new LinkedHashMap<>();
  private final Set<String> keptForUrgent;
  private final RoomMemory memory = new RoomMemory();
  private int searches;

  private PlacementPlanner(Collection<WorkerSpace> workers, Set<String> keptForUrgent) {
    this.keptForUrgent = keptForUrgent;
    workers.forEach(worker -> spaces.put(worker.id(), new Space(worker)));
  }

  /**
   * Plans one round.
   *
   * @param keptForUrgent the workers that take only urgent jobs, where others can run elsewhere
   */
  static PlacementPlan plan(
      Collection<WorkerSpace> workers, Set<String> keptForUrgent, List<PlacementRequest> requests) {
    PlacementPlanner planner = new PlacementPlanner(workers, keptForUrgent);
    requests.forEach(planner::plan);
    return new PlacementPlan(planner.placed, planner.stopped, planner.waiting, planner.searches);
  }

  private void plan(PlacementRequest request) {
    if (memory.isHopeless(request)) {
      waiting.put(request.unit(), WaitCause.NO_ROOM);
      return;
    }
    searches++;
    List<Space> eligible = eligible(request);
    if (eligible.isEmpty()) {
      waiting.put(request.unit(), WaitCause.NO_ELIGIBLE_WORKER);
      return;
    }
    List<Space> chosen = choose(request, eligible, Space::free);
    if (chosen != null) {
      chosen.forEach(space -> space.place(request));
      placed.add(new Placed(request.unit(), chosen.stream().map(Space::id).toList()));
      return;
    }
    waiting.put(request.unit(), displace(request, eligible));
  }

  private List<Space> eligible(PlacementRequest request) {
    List<Space> eligible = new ArrayList<>();
    List<Space> doubtful = new ArrayList<>();
    for (Space space : spaces.values()) {
      if (!space.serves(request)) {
        continue;
      }
      boolean sound = space.worker.trusted() && !request.avoided().contains(space.id());
      (sound ? eligible : doubtful).add(space);
    }
    return withoutKept(request, eligible.isEmpty() ? doubtful : eligible);
  }

  /** Leaves workers that are kept for urgent jobs out, unless the unit could then never run. */
  private List<Space> withoutKept(PlacementRequest request, List<Space> eligible) {
    if (request.priority() <= UrgencyRanks.URGENT || keptForUrgent.isEmpty()) {
      return eligible;
    }
    List<Space> others =
        eligible.stream().filter(each -> !keptForUrgent.contains(each.id())).toList();
    return fitsEmpty(request, others) ? others : eligible;
  }

  /** Keeps room for a unit by stopping runs of less urgent jobs, or by waiting for such stops. */
  private WaitCause displace(PlacementRequest request, List<Space> eligible) {
    List<Space> vacated = choose(request, eligible, Space::freeWhenLeft);
    if (vacated != null) {
      vacated.forEach(space -> space.take(request.step().demand()));
      return WaitCause.STOPPING_OTHERS;
    }
    List<Space> reclaimed =
        choose(request, eligible, space -> space.freeAfterDisplacing(request.priority()));
    if (reclaimed == null) {
      memory.foundNone(request);
      return WaitCause.NO_ROOM;
    }
    reclaimed.forEach(space -> space.take(request.step().demand()));
    if (!request.mayDisplace()) {
      return WaitCause.NO_ROOM;
    }
    reclaimed.forEach(space -> stopFor(space, request));
    return WaitCause.STOPPING_OTHERS;
  }

  private void stopFor(Space space, PlacementRequest request) {
    for (Occupant victim : space.victimsFor(Resources.NONE, request.priority())) {
      if (stopped.putIfAbsent(victim.unit(), request.unit()) == null) {
        spaces.values().forEach(each -> each.leave(victim.unit()));
      }
    }
  }

  private @Nullable List<Space> choose(PlacementRequest request, List<Space> eligible, Room room) {
    String dataRack = request.step().dataRack();
    if (!dataRack.isEmpty()) {
      List<Space> onRack =
          eligible.stream().filter(each -> each.worker.rack().equals(dataRack)).toList();
      List<Space> chosen = fill(request, onRack, room);
      if (chosen != null || waitsForRack(request, onRack)) {
        return chosen;
      }
    }
    if (request.step().singleRack() && request.tasks() > 1) {
      List<Space> chosen = fillOneRack(request, eligible, room);
      if (chosen != null || waitsForRack(request, eligible)) {
        return chosen;
      }
    }
    return fill(request, eligible, room);
  }

  /** Says whether a rack that could hold the unit, were it empty, is worth waiting for. */
  private static boolean waitsForRack(PlacementRequest request, List<Space> candidates) {
    return request.mayWaitForRack()
        && racks(candidates).stream().anyMatch(rack -> fitsEmpty(request, rack));
  }

  /** Says whether all tasks of a unit would fit if nothing else ran on the workers. */
  private static boolean fitsEmpty(PlacementRequest request, List<Space> candidates) {
    int copies = 0;
    for (Space space : candidates) {
      copies += space.copies(request, space.worker.capacity());
    }
    return copies >= request.tasks();
  }

  private static Collection<List<Space>> racks(List<Space> spaces) {
    Map<String, List<Space>> racks = new LinkedHashMap<>();
    for (Space space : spaces) {
      racks.computeIfAbsent(space.worker.rack(), rack -> new ArrayList<>()).add(space);
    }
    return racks.values();
  }

  private @Nullable List<Space> fillOneRack(
      PlacementRequest request, List<Space> eligible, Room room) {
    List<Space> best = null;
    long bestLeft = Long.MAX_VALUE;
    for (List<Space> rack : racks(eligible)) {
      List<Space> chosen = fill(request, rack, room);
      long left = rack.stream().mapToLong(each -> room.of(each).accelerators()).sum();
      if (chosen != null && left < bestLeft) {
        best = chosen;
        bestLeft = left;
      }
    }
    return best;
  }

  /** Returns a worker for each task, fewest workers first; null where not all tasks fit. */
  private static @Nullable List<Space> fill(
      PlacementRequest request, List<Space> candidates, Room room) {
    record Offer(Space space, int copies, Resources free, long loss) {}

    List<Offer> offers = new ArrayList<>();
    for (Space space : candidates) {
      Resources free = room.of(space);
      int copies = space.copies(request, free);
      if (copies > 0) {
        offers.add(new Offer(space, copies, free, space.lossFor(request, free)));
      }
    }
    Comparator<Offer> order =
        Comparator.comparingLong((Offer offer) -> offer.loss)
            .thenComparingInt(offer -> -Math.min(offer.copies, request.tasks()))
            .thenComparingInt(offer -> offer.free.accelerators())
            .thenComparingLong(offer -> offer.free.processorMillis())
            .thenComparing(offer -> offer.space.id());
    offers.sort(order);
    List<Space> chosen = new ArrayList<>();
    for (Offer offer : offers) {
      for (int copy = 0; copy < offer.copies && chosen.size() < request.tasks(); copy++) {
        chosen.add(offer.space);
      }
    }
    return chosen.size() == request.tasks() ? chosen : null;
  }

  /** The room of a worker that a choice counts on. */
  @FunctionalInterface
  private interface Room {
    Resources of(Space space);
  }

  /** A worker with what this round has taken from it. */
  private static final class Space {
    private final WorkerSpace worker;
    private final Set<String> leaving = new HashSet<>();
    private final Map<String, Integer> placedOfStep = new HashMap<>();
    private Resources free;

    Space(WorkerSpace worker) {
      this.worker = worker;
      this.free = worker.capacity();
      for (Occupant occupant : worker.occupants()) {
        take(occupant.demand());
        if (occupant.leaving()) {
          leaving.add(occupant.unit());
        }
      }
    }

    String id() {
      return worker.id();
    }

    Resources free() {
      return free;
    }

    void take(Resources demand) {
      free = free.minus(demand);
    }

    /** Takes the room of one task, and counts it towards the step's limit on this worker. */
    void place(PlacementRequest request) {
      take(request.step().demand());
      placedOfStep.merge(request.stepKey(), 1, Integer::sum);
    }

    void leave(String unit) {
      leaving.add(unit);
    }

    Resources freeWhenLeft() {
      Resources sum = free;
      for (Occupant occupant : worker.occupants()) {
        sum = leaving.contains(occupant.unit()) ? sum.plus(occupant.demand()) : sum;
      }
      return sum;
    }

    Resources freeAfterDisplacing(int priority) {
      Resources sum = free;
      for (Occupant occupant : worker.occupants()) {
        boolean goes = leaving.contains(occupant.unit()) || occupant.priority() > priority;
        sum = goes ? sum.plus(occupant.demand()) : sum;
      }
      return sum;
    }

    /** Returns the work that is thrown away when a room is made free for one task of a unit. */
    long lossFor(PlacementRequest request, Resources room) {
      if (room.equals(free) || room.equals(freeWhenLeft())) {
        return 0;
      }
      return victimsFor(request.step().demand(), request.priority()).stream()
          .mapToLong(Occupant::loss)
          .sum();
    }

    /** Returns the runs to stop for a room: the least urgent first, then those that lose least. */
    List<Occupant> victimsFor(Resources needed, int priority) {
      List<Occupant> victims = new ArrayList<>();
      Resources room = freeWhenLeft();
      for (Occupant candidate : displaceable(priority)) {
        if (room.holds(needed)) {
          break;
        }
        victims.add(candidate);
        room = room.plus(candidate.demand());
      }
      for (Occupant victim : List.copyOf(victims).reversed()) {
        Resources without = room.minus(victim.demand());
        if (without.holds(needed)) {
          victims.remove(victim);
          room = without;
        }
      }
      return victims;
    }

    private List<Occupant> displaceable(int priority) {
      List<Occupant> candidates = new ArrayList<>();
      for (Occupant occupant : worker.occupants()) {
        if (occupant.priority() > priority && !leaving.contains(occupant.unit())) {
          candidates.add(occupant);
        }
      }
      candidates.sort(
          Comparator.comparing(Occupant::priority).reversed().thenComparing(Occupant::loss));
      return candidates;
    }

    boolean serves(PlacementRequest request) {
      StepSpecification step = request.step();
      return worker.service().equals(request.service())
          && (step.requiredLabel().isEmpty() || worker.labels().contains(step.requiredLabel()));
    }

    int copies(PlacementRequest request, Resources room) {
      int limit = request.tasks();
      int perWorker = request.step().maximumPerWorker();
      if (perWorker > 0) {
        int earlier = request.runsOfStep().getOrDefault(id(), 0);
        int inThisRound = placedOfStep.getOrDefault(request.stepKey(), 0);
        limit = Math.min(limit, perWorker - earlier - inThisRound);
      }
      return room.copiesOf(request.step().demand(), limit);
    }
  }
}
