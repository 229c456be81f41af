package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.MemberPlacement;
import java.util.BitSet;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which jobs hold which accelerators while one plan is made. Masks are indexed by worker and
 * have one bit for each accelerator.
 */
final class FleetOccupancy {
  private final Topology topology;

  /** Accelerators that no job holds and no earlier job in queue order has claimed. */
  final long[] free;

  /** Accelerators of stopping gangs that no earlier job in queue order has claimed. */
  final long[] releasing;

  /** Accelerators of workers in service that no non-stoppable job holds. */
  final long[] reclaimable;

  /** Accelerators that an earlier job in queue order has claimed. */
  final long[] claimed;

  /** The number of accelerators on each worker that pinned jobs hold. */
  final int[] pinnedAccelerators;

  private final @Nullable PlanningJob[][] holders;

  FleetOccupancy(Topology topology, List<PlanningJob> jobs, BitSet inService) {
    this.topology = topology;
    free = topology.fullMasks();
    releasing = new long[topology.size()];
    pinnedAccelerators = new int[topology.size()];
    claimed = new long[topology.size()];
    reclaimable = topology.fullMasks();
    holders = new PlanningJob[topology.size()][];
    for (int index = 0; index < topology.size(); index++) {
      holders[index] = new PlanningJob[topology.worker(index).accelerators()];
      if (!inService.get(index)) {
        reclaimable[index] = 0;
      }
    }
    jobs.forEach(this::addJob);
  }

  /** Returns the job that holds an accelerator, or null if none does. */
  @Nullable PlanningJob holder(int worker, int accelerator) {
    return holders[worker][accelerator];
  }

  /** Returns the accelerators held by jobs that match the filter, by worker index. */
  long[] masksHeldBy(Predicate<PlanningJob> filter) {
    long[] masks = new long[topology.size()];
    for (int worker = 0; worker < masks.length; worker++) {
      for (int accelerator = 0; accelerator < holders[worker].length; accelerator++) {
        PlanningJob holder = holders[worker][accelerator];
        if (holder != null && filter.test(holder)) {
          masks[worker] |= 1L << accelerator;
        }
      }
    }
    return masks;
  }

  /** Claims placements for a job, so that later jobs in queue order do not use them. */
  void claim(List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      int index = topology.indexOf(placement.worker());
      long mask = BlockSearch.mask(placement);
      free[index] &= ~mask;
      releasing[index] &= ~mask;
      claimed[index] |= mask;
    }
  }

  /** Removes placements from the reclaimable accelerators: a non-stoppable job starts there. */
  void removeFromReclaimable(List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      reclaimable[topology.indexOf(placement.worker())] &= ~BlockSearch.mask(placement);
    }
  }

  /** Marks the accelerators of a gang that this plan stops as releasing. */
  void markReleasing(PlanningJob job) {
    for (MemberPlacement placement : job.view.placements()) {
      int index = topology.indexOf(placement.worker());
      if (index >= 0) {
        releasing[index] |= BlockSearch.mask(placement) & ~claimed[index];
      }
    }
  }

  private void addJob(PlanningJob job) {
    for (MemberPlacement placement : job.view.placements()) {
      int index = topology.indexOf(placement.worker());
      if (index < 0) {
        continue;
      }
      long mask = BlockSearch.mask(placement);
      free[index] &= ~mask;
      if (job.isPinned()) {
        pinnedAccelerators[index] += Long.bitCount(mask);
      }
      if (job.view.phase() == AllocationPhase.STOPPING) {
        releasing[index] |= mask;
      } else if (!job.specification().stoppable()) {
        reclaimable[index] &= ~mask;
      }
      for (int accelerator : placement.accelerators()) {
        if (accelerator < holders[index].length) {
          holders[index][accelerator] = job;
        }
      }
    }
  }
}
