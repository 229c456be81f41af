package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.BitSet;
import org.jspecify.annotations.Nullable;

/**
 * Indexes workers by their number of free accelerators and allocates shapes from them. It chooses
 * the same placements as {@link BlockSearch}, without a scan of all workers for each shape.
 */
final class FreeCapacityIndex {
  private static final int NO_GROUP = -1;

  private final Topology topology;
  private final BlockTable blockTable;
  private final long[] masks;
  private final int wordsPerRow;

  /** Bit matrix: one row for each number of free accelerators, one bit for each worker. */
  private final long[] workersByFreeCount;

  private @Nullable GroupCapacity groupCapacity;

  FreeCapacityIndex(Topology topology, BlockTable blockTable, long[] masks) {
    this.topology = topology;
    this.blockTable = blockTable;
    this.masks = masks;
    wordsPerRow = (masks.length + Long.SIZE - 1) / Long.SIZE;
    workersByFreeCount = new long[(Long.SIZE + 1) * wordsPerRow];
    for (int worker = 0; worker < masks.length; worker++) {
      if (masks[worker] != 0) {
        toggle(worker);
      }
    }
  }

  /**
   * Removes the accelerators of a shape from the masks.
   *
   * @return whether the shape fits
   */
  boolean allocate(Shape shape, BitSet allowedWorkers) {
    int blockSize = shape.acceleratorsPerMember();
    if (masks.length == 0) {
      return false;
    }
    if (shape.members() == 1) {
      return allocateMembers(Span.REGION, 0, shape, allowedWorkers);
    }
    for (Span span : Span.values()) {
      if (span.compareTo(shape.span()) > 0) {
        return false;
      }
      int group = groupCapacity(blockSize, allowedWorkers).bestGroup(span, shape.members());
      if (group != NO_GROUP) {
        return allocateMembers(span, group, shape, allowedWorkers);
      }
    }
    return false;
  }

  private GroupCapacity groupCapacity(int blockSize, BitSet allowedWorkers) {
    if (groupCapacity == null
        || groupCapacity.blockSize != blockSize
        || !groupCapacity.allowedWorkers.equals(allowedWorkers)) {
      groupCapacity = new GroupCapacity(blockSize, allowedWorkers);
    }
    return groupCapacity;
  }

  /**
   * Allocates members on the workers of a group, those with the fewest free accelerators first.
   *
   * @return whether any member was allocated
   */
  private boolean allocateMembers(Span span, int group, Shape shape, BitSet allowedWorkers) {
    int[] workers = topology.groups(span)[group];
    int firstWord = workers[0] / Long.SIZE;
    int lastWord = workers[workers.length - 1] / Long.SIZE;
    int blockSize = shape.acceleratorsPerMember();
    int remainingMembers = shape.members();
    for (int row = blockSize * wordsPerRow; row < workersByFreeCount.length; row += wordsPerRow) {
      for (int word = firstWord; word <= lastWord; word++) {
        for (long rest = workersByFreeCount[row + word]; rest != 0; rest &= rest - 1) {
          int worker = word * Long.SIZE + Long.numberOfTrailingZeros(rest);
          if (topology.groupOf(span, worker) == group && allowedWorkers.get(worker)) {
            remainingMembers -= allocateOn(worker, remainingMembers, blockSize);
          }
          if (remainingMembers == 0) {
            return true;
          }
        }
      }
    }
    return remainingMembers < shape.members();
  }

  private int allocateOn(int worker, int members, int blockSize) {
    long mask = masks[worker];
    int allocated = 0;
    int offset = blockTable.bestOffset(mask, blockSize);
    while (allocated < members && offset >= 0) {
      mask &= ~BlockTable.blockMask(offset, blockSize);
      allocated++;
      offset = blockTable.bestOffset(mask, blockSize);
    }
    if (allocated > 0) {
      updateMask(worker, mask);
    }
    return allocated;
  }

  private void updateMask(int worker, long mask) {
    if (groupCapacity != null) {
      groupCapacity.adjust(worker, -1);
    }
    toggle(worker);
    masks[worker] = mask;
    toggle(worker);
    if (groupCapacity != null) {
      groupCapacity.adjust(worker, 1);
    }
  }

  private void toggle(int worker) {
    int row = Long.bitCount(masks[worker]) * wordsPerRow;
    workersByFreeCount[row + worker / Long.SIZE] ^= 1L << worker;
  }

  /** Capacity of each group for blocks of one size, on the allowed workers only. */
  private final class GroupCapacity {
    private final int blockSize;
    private final BitSet allowedWorkers;
    private final int[][] capacities = new int[Span.values().length][];
    private final int[][] free = new int[Span.values().length][];
    private int maximumWorkerCapacity;

    GroupCapacity(int blockSize, BitSet allowedWorkers) {
      this.blockSize = blockSize;
      this.allowedWorkers = allowedWorkers;
      for (Span span : Span.values()) {
        capacities[span.ordinal()] = new int[topology.groups(span).length];
        free[span.ordinal()] = new int[topology.groups(span).length];
      }
      for (int worker = 0; worker < masks.length; worker++) {
        adjust(worker, 1);
      }
    }

    /**
     * Adds or subtracts the free capacity of a worker.
     *
     * @param sign 1 to add, -1 to subtract
     */
    void adjust(int worker, int sign) {
      if (masks[worker] == 0 || !allowedWorkers.get(worker)) {
        return;
      }
      int capacity = blockTable.capacity(masks[worker], blockSize);
      int freeAccelerators = Long.bitCount(masks[worker]);
      maximumWorkerCapacity = Math.max(maximumWorkerCapacity, capacity);
      for (Span span : Span.values()) {
        int group = topology.groupOf(span, worker);
        capacities[span.ordinal()][group] += sign * capacity;
        free[span.ordinal()][group] += sign * freeAccelerators;
      }
    }

    /**
     * Returns the group with the fewest free accelerators that fits all members, or {@link
     * #NO_GROUP}.
     */
    int bestGroup(Span span, int members) {
      if (span == Span.WORKER && members > maximumWorkerCapacity) {
        return NO_GROUP;
      }
      int[] groupCapacities = capacities[span.ordinal()];
      int[] groupFree = free[span.ordinal()];
      int bestGroup = NO_GROUP;
      for (int group = 0; group < groupCapacities.length; group++) {
        if (groupCapacities[group] >= members
            && (bestGroup == NO_GROUP || groupFree[group] < groupFree[bestGroup])) {
          bestGroup = group;
        }
      }
      return bestGroup;
    }
  }
}
