package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Finds placements for a gang that become free by stopping other gangs, with the lowest total stop
 * cost.
 */
final class VictimSearch {
  private static final Comparator<Window> CHEAPEST_FIRST = Comparator.comparingDouble(Window::cost);

  private final Topology topology;
  private final BlockSearch search;
  private final FleetOccupancy occupancy;

  /** The number of cost computations so far; identifies the current one. */
  private long costComputations;

  VictimSearch(Topology topology, BlockSearch search, FleetOccupancy occupancy) {
    this.topology = topology;
    this.search = search;
    this.occupancy = occupancy;
  }

  /**
   * Returns the placements with the lowest stop cost, or null if the gang fits nowhere.
   *
   * @param allowedWorkers the indexes of the workers that may be used
   * @param candidates the accelerators of jobs that may be stopped, by worker index; those claimed
   *     since are ignored
   * @param stoppable whether a candidate job may be stopped
   */
  @Nullable ReclaimPlan find(
      Shape shape, BitSet allowedWorkers, long[] candidates, Predicate<PlanningJob> stoppable) {
    int blockSize = shape.acceleratorsPerMember();
    List<Window> windows = new ArrayList<>();
    // The windows of a worker have the indexes from windowStarts[worker] up to the next start.
    int[] windowStarts = new int[topology.size() + 1];
    for (int worker = 0; worker < topology.size(); worker++) {
      if (allowedWorkers.get(worker)) {
        addWindows(windows, worker, blockSize, candidates[worker], stoppable);
      }
      windowStarts[worker + 1] = windows.size();
    }
    if (windows.size() < shape.members()) {
      return null;
    }
    return findCheapest(shape, windows, windowStarts);
  }

  private @Nullable ReclaimPlan findCheapest(
      Shape shape, List<Window> windows, int[] windowStarts) {
    List<Window> best = List.of();
    double bestCost = 0;
    for (Span span : Span.values()) {
      if (span.compareTo(shape.span()) > 0) {
        break;
      }
      for (int[] group : topology.groups(span)) {
        List<Window> chosen = cheapestInGroup(group, windows, windowStarts, shape.members());
        if (chosen.isEmpty()) {
          continue;
        }
        double cost = cost(chosen, shape.acceleratorsPerMember());
        if (best.isEmpty() || cost < bestCost) {
          best = chosen;
          bestCost = cost;
        }
      }
    }
    return best.isEmpty() ? null : createPlan(best, shape.acceleratorsPerMember(), bestCost);
  }

  /**
   * Returns the cheapest windows of a group, one for each member, or an empty list if the group has
   * too few.
   */
  private static List<Window> cheapestInGroup(
      int[] group, List<Window> windows, int[] windowStarts, int members) {
    int windowCount = 0;
    for (int worker : group) {
      windowCount += windowStarts[worker + 1] - windowStarts[worker];
    }
    if (windowCount < members) {
      return List.of();
    }
    List<Window> windowsInGroup = new ArrayList<>(windowCount);
    for (int worker : group) {
      windowsInGroup.addAll(windows.subList(windowStarts[worker], windowStarts[worker + 1]));
    }
    if (windowCount > 1) {
      windowsInGroup.sort(CHEAPEST_FIRST);
    }
    return windowsInGroup.subList(0, members);
  }

  private ReclaimPlan createPlan(List<Window> chosen, int blockSize, double cost) {
    Set<PlanningJob> victims = new LinkedHashSet<>();
    List<MemberPlacement> placements = new ArrayList<>();
    for (Window window : chosen) {
      long heldAccelerators = heldMask(window, blockSize);
      for (long rest = heldAccelerators; rest != 0; rest &= rest - 1) {
        victims.add(holder(window.worker(), Long.numberOfTrailingZeros(rest)));
      }
      placements.add(
          search.createPlacement(placements.size(), window.worker(), window.offset(), blockSize));
    }
    return new ReclaimPlan(placements, List.copyOf(victims), cost);
  }

  private double cost(List<Window> chosen, int blockSize) {
    if (chosen.size() == 1) {
      return chosen.get(0).cost();
    }
    costComputations++;
    DoubleSummaryStatistics cost = new DoubleSummaryStatistics();
    for (Window window : chosen) {
      for (long rest = heldMask(window, blockSize); rest != 0; rest &= rest - 1) {
        addStopCost(holder(window.worker(), Long.numberOfTrailingZeros(rest)), cost);
      }
    }
    return cost.getSum();
  }

  private void addWindows(
      List<Window> windows,
      int worker,
      int blockSize,
      long candidates,
      Predicate<PlanningJob> stoppable) {
    long usable = availableMask(worker) | (candidates & ~occupancy.claimed[worker]);
    int accelerators = topology.worker(worker).accelerators();
    for (int offset = 0; offset + blockSize <= accelerators; offset += blockSize) {
      long block = BlockTable.blockMask(offset, blockSize);
      if ((usable & block) == block) {
        addWindow(windows, worker, offset, block, stoppable);
      }
    }
  }

  private void addWindow(
      List<Window> windows, int worker, int offset, long block, Predicate<PlanningJob> stoppable) {
    costComputations++;
    DoubleSummaryStatistics cost = new DoubleSummaryStatistics();
    for (long rest = block & ~availableMask(worker); rest != 0; rest &= rest - 1) {
      PlanningJob victim = holder(worker, Long.numberOfTrailingZeros(rest));
      if (!stoppable.test(victim)) {
        return;
      }
      addStopCost(victim, cost);
    }
    windows.add(new Window(worker, offset, cost.getSum()));
  }

  /** Adds the stop cost of a victim, once in each cost computation. */
  private void addStopCost(PlanningJob victim, DoubleSummaryStatistics cost) {
    if (victim.lastCostComputation != costComputations) {
      victim.lastCostComputation = costComputations;
      cost.accept(victim.stopCostAcceleratorSeconds);
    }
  }

  private long heldMask(Window window, int blockSize) {
    return BlockTable.blockMask(window.offset(), blockSize) & ~availableMask(window.worker());
  }

  private long availableMask(int worker) {
    return occupancy.free[worker] | occupancy.releasing[worker];
  }

  private PlanningJob holder(int worker, int accelerator) {
    return Objects.requireNonNull(occupancy.holder(worker, accelerator));
  }

  /**
   * Placements that become free when the victims have stopped.
   *
   * @param cost the work that the victims lose, in accelerator seconds
   */
  record ReclaimPlan(List<MemberPlacement> placements, List<PlanningJob> victims, double cost) {}

  /**
   * A block of adjacent accelerators on one worker that can be freed for one member.
   *
   * @param worker the worker index
   * @param offset the first accelerator of the block
   * @param cost the work that the victims lose, in accelerator seconds
   */
  private record Window(int worker, int offset, double cost) {}
}
