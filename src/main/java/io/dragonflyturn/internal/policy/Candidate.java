package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker, with the resources that remain after the decisions made so far in this round. */
final class Candidate {
  private final WorkerSnapshot worker;
  private final Set<String> stoppingUnits = new HashSet<>();
  private final Map<String, Integer> placedTasksByStep = new HashMap<>();
  private final Resources capacityBesideUrgentRuns;
  private final Resources freeAtStart;
  private final List<WorkerBlock> blocks = new ArrayList<>();
  private final WorkerSpeed.Grade grade;
  private boolean split;
  private Resources free;

  Candidate(WorkerSnapshot worker) {
    this.worker = worker;
    this.grade = worker.speed().grade();
    this.capacityBesideUrgentRuns = worker.capacityBesideUrgentRuns();
    this.free = worker.capacity();
    for (Allocation allocation : worker.allocations()) {
      reserve(allocation.demand());
      if (allocation.stopping()) {
        stoppingUnits.add(allocation.unitKey());
      } else {
        split |= allocation.holdsRoom();
      }
    }
    this.freeAtStart = free;
  }

  String id() {
    return worker.id();
  }

  WorkerSnapshot worker() {
    return worker;
  }

  WorkerSpeed.Grade grade() {
    return grade;
  }

  Resources free() {
    return free;
  }

  /** Returns whether a part of the worker is held, so that it can't be had as a whole. */
  boolean isSplit() {
    return split;
  }

  /** Returns the resources that were free at the start of the round. */
  Resources freeAtStart() {
    return freeAtStart;
  }

  /** Returns the resources that less urgent jobs could use if all of their runs were over. */
  Resources capacityBesideUrgentRuns() {
    return capacityBesideUrgentRuns;
  }

  /** Has the candidate report to a block whenever its free resources change. */
  void reportTo(WorkerBlock block) {
    blocks.add(block);
  }

  void reserve(Resources demand) {
    free = free.minus(demand);
    blocks.forEach(WorkerBlock::workerChanged);
  }

  /** Reserves the resources of one task, and counts it towards the step's limit on this worker. */
  void place(PlacementRequest request) {
    reserve(request.step().demand());
    split |= request.holdsRoom();
    placedTasksByStep.merge(request.stepKey(), 1, Integer::sum);
  }

  /** Marks a unit as being stopped, so that its resources count as available after the stop. */
  void markStopping(String unitKey) {
    stoppingUnits.add(unitKey);
  }

  /** Returns the resources that are free once all runs that are being stopped have ended. */
  Resources freeAfterStops() {
    Resources sum = free;
    for (Allocation allocation : worker.allocations()) {
      sum = isStopping(allocation) ? sum.plus(allocation.demand()) : sum;
    }
    return sum;
  }

  /**
   * Returns the resources that would be free if all runs were preempted that a request may
   * displace, and those had ended that are expected to end within a time.
   */
  Resources freeAfterPreempting(PlacementRequest request, long withinMillis) {
    Resources sum = free;
    for (Allocation allocation : worker.allocations()) {
      boolean releases =
          isStopping(allocation)
              || request.mayDisplace(allocation)
              || endsWithin(allocation, withinMillis);
      sum = releases ? sum.plus(allocation.demand()) : sum;
    }
    return sum;
  }

  /**
   * Returns the resources that are free once all runs have ended that are being stopped or are
   * expected to end by themselves within a time.
   */
  Resources freeAfterEnds(long withinMillis) {
    Resources sum = free;
    for (Allocation allocation : worker.allocations()) {
      boolean releases = isStopping(allocation) || endsWithin(allocation, withinMillis);
      sum = releases ? sum.plus(allocation.demand()) : sum;
    }
    return sum;
  }

  /**
   * Returns the work that would be lost if the runs on whose ends the room for a task depends had
   * to be preempted instead; 0 if the task needs no such ends.
   */
  long preemptionCostFor(PlacementRequest request, Resources available) {
    if (available.equals(free)) {
      return 0;
    }
    return endsUntilFree(request.step().demand()).stream()
        .mapToLong(Allocation::preemptionCost)
        .sum();
  }

  /** Returns in how many milliseconds resources are expected to be free without preemption. */
  long millisUntilFree(Resources needed) {
    return endsUntilFree(needed).stream().mapToLong(Allocation::remainingMillis).max().orElse(0);
  }

  /** Returns the runs that end by themselves until resources are free, in the order of the ends. */
  private List<Allocation> endsUntilFree(Resources needed) {
    Resources available = freeAfterStops();
    if (available.canFit(needed)) {
      return List.of();
    }
    List<Allocation> ending = new ArrayList<>(worker.allocations());
    ending.removeIf(this::isStopping);
    ending.sort(Comparator.comparingLong(Allocation::remainingMillis));
    List<Allocation> ends = new ArrayList<>();
    for (Allocation allocation : ending) {
      if (available.canFit(needed)) {
        break;
      }
      ends.add(allocation);
      available = available.plus(allocation.demand());
    }
    return ends;
  }

  /** Returns whether a run is expected to end within a time; runs without an end never do. */
  private static boolean endsWithin(Allocation allocation, long withinMillis) {
    return allocation.remainingMillis() <= withinMillis
        && withinMillis > 0
        && !allocation.isLasting();
  }

  boolean isStopping(Allocation allocation) {
    return stoppingUnits.contains(allocation.unitKey());
  }

  /**
   * Returns the allocations that may be preempted for a request, cheapest first, and runs without
   * an end after all others. Runs that are about to end are left alone, as their room is free soon
   * at no cost.
   */
  List<Allocation> preemptibleFor(PlacementRequest request) {
    List<Allocation> allocations = new ArrayList<>();
    for (Allocation allocation : worker.allocations()) {
      if (request.mayDisplace(allocation)
          && !isStopping(allocation)
          && !endsWithin(allocation, request.endWaitMillis())) {
        allocations.add(allocation);
      }
    }
    allocations.sort(
        Comparator.comparing(Allocation::isLasting)
            .thenComparingLong(Allocation::displacementCost));
    return allocations;
  }

  /** Returns whether the worker belongs to the service of a request and has the required label. */
  boolean matches(PlacementRequest request) {
    return matches(request.service(), request.step().requiredLabel());
  }

  /** Returns whether the worker belongs to a service and has a label; an empty one is no label. */
  boolean matches(String service, String requiredLabel) {
    return worker.service().equals(service)
        && (requiredLabel.isEmpty() || worker.labels().contains(requiredLabel));
  }

  /** Returns whether the worker is healthy and the unit has not failed on it. */
  boolean isPreferredFor(PlacementRequest request) {
    return worker.healthy() && !request.failedWorkers().contains(id());
  }

  /**
   * Returns how many tasks of a request fit into the available resources, within the limit per
   * worker.
   */
  int copiesThatFit(PlacementRequest request, Resources available) {
    int limit = request.tasks();
    int perWorker = request.step().maximumPerWorker();
    if (perWorker > 0) {
      int existingRuns = request.stepRunsByWorker().getOrDefault(id(), 0);
      int placedInThisRound = placedTasksByStep.getOrDefault(request.stepKey(), 0);
      limit = Math.min(limit, perWorker - existingRuns - placedInThisRound);
    }
    return available.copiesThatFit(request.step().demand(), limit);
  }
}
