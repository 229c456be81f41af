package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.MemberPlacement;
import java.util.BitSet;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Who holds which accelerators while one plan is made. */
final class FleetOccupancy {
  private final Topology topology;

  /** Accelerators that nobody holds and no earlier job of the order has claimed. */
  final long[] free;

  /** Accelerators of gangs that stop, which no earlier job of the order has claimed. */
  final long[] soonFree;

  /** Accelerators that can be reclaimed: all that unstoppable work does not hold. */
  final long[] reclaimable;

  /** Accelerators that an earlier job of the order has claimed. */
  final long[] claimed;

  /** The number of accelerators on each worker that are held by work that cannot move. */
  final int[] pinned;

  private final @Nullable JobEntry[][] holders;

  FleetOccupancy(Topology topology, List<JobEntry> jobs, BitSet inService) {
    this.topology = topology;
    free = topology.fullMasks();
    soonFree = new long[topology.size()];
    pinned = new int[topology.size()];
    claimed = new long[topology.size()];
    reclaimable = topology.fullMasks();
    holders = new JobEntry[topology.size()][];
    for (int index = 0; index < topology.size(); index++) {
      holders[index] = new JobEntry[topology.worker(index).accelerators()];
      if (!inService.get(index)) {
        reclaimable[index] = 0;
      }
    }
    jobs.forEach(this::occupy);
  }

  @Nullable JobEntry holder(int worker, int accelerator) {
    return holders[worker][accelerator];
  }

  /** Returns the accelerators whose holders are chosen, by worker index. */
  long[] held(Predicate<JobEntry> chosen) {
    long[] masks = new long[topology.size()];
    for (int worker = 0; worker < masks.length; worker++) {
      for (int accelerator = 0; accelerator < holders[worker].length; accelerator++) {
        JobEntry holder = holders[worker][accelerator];
        if (holder != null && chosen.test(holder)) {
          masks[worker] |= 1L << accelerator;
        }
      }
    }
    return masks;
  }

  /** Claims places for a job, so that later jobs of the order do not take them. */
  void claim(List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      int index = topology.indexOf(placement.worker());
      long mask = BlockSearch.mask(placement);
      free[index] &= ~mask;
      soonFree[index] &= ~mask;
      claimed[index] |= mask;
    }
  }

  /** Removes places from what can be reclaimed, because unstoppable work starts there. */
  void harden(List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      reclaimable[topology.indexOf(placement.worker())] &= ~BlockSearch.mask(placement);
    }
  }

  /** Moves the places of a gang that this plan stops to those that are soon free. */
  void release(JobEntry job) {
    for (MemberPlacement placement : job.view.placements()) {
      int index = topology.indexOf(placement.worker());
      if (index >= 0) {
        soonFree[index] |= BlockSearch.mask(placement) & ~claimed[index];
      }
    }
  }

  private void occupy(JobEntry job) {
    for (MemberPlacement placement : job.view.placements()) {
      int index = topology.indexOf(placement.worker());
      if (index < 0) {
        continue;
      }
      long mask = BlockSearch.mask(placement);
      free[index] &= ~mask;
      if (job.isPinned()) {
        pinned[index] += Long.bitCount(mask);
      }
      if (job.view.phase() == AllocationPhase.STOPPING) {
        soonFree[index] |= mask;
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
