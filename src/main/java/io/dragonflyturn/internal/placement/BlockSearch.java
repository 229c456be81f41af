package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Finds placements for the members of a gang. It uses the narrowest topology group that fits the
 * gang, and among those the one with the fewest free accelerators, to limit fragmentation.
 *
 * <p>Accelerators are given as bit masks, one for each worker index.
 */
final class BlockSearch {
  private static final int[] NO_PREFERENCES = {};

  /** The free accelerators that one unit of preference outweighs. */
  private static final int PREFERENCE_WEIGHT_ACCELERATORS = 64;

  private final Topology topology;
  private final BlockTable blockTable;

  BlockSearch(Topology topology, BlockTable blockTable) {
    this.topology = topology;
    this.blockTable = blockTable;
  }

  /**
   * Returns placements for all members, or null if the gang does not fit.
   *
   * @param masks the accelerators that may be used, by worker index
   * @param allowedWorkers the indexes of the workers that may be used
   */
  @Nullable List<MemberPlacement> find(long[] masks, BitSet allowedWorkers, Shape shape) {
    return find(masks, allowedWorkers, shape, NO_PREFERENCES);
  }

  /**
   * Returns placements for all members, or null if the gang does not fit.
   *
   * @param masks the accelerators that may be used, by worker index
   * @param allowedWorkers the indexes of the workers that may be used
   * @param preferences the preference for each worker index; groups with a higher preference are
   *     chosen before groups with fewer free accelerators
   */
  @Nullable List<MemberPlacement> find(
      long[] masks, BitSet allowedWorkers, Shape shape, int[] preferences) {
    if (shape.acceleratorsPerMember() == 0) {
      return placeWithoutAccelerators(allowedWorkers, shape);
    }
    for (Span span : Span.values()) {
      if (span.compareTo(shape.span()) > 0) {
        return null;
      }
      int[] group = bestGroup(masks, allowedWorkers, shape, span, preferences);
      if (group != null) {
        return placeMembers(masks, allowedWorkers, shape, group);
      }
    }
    return null;
  }

  /** Creates an index of the masks; what is allocated through it is removed from the masks. */
  FreeCapacityIndex createIndex(long[] masks) {
    return new FreeCapacityIndex(topology, blockTable, masks);
  }

  /** Removes the accelerators of the placements from the masks. Ignores unknown workers. */
  void removePlacements(long[] masks, List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      int index = topology.indexOf(placement.worker());
      if (index >= 0) {
        masks[index] &= ~mask(placement);
      }
    }
  }

  /** Returns the accelerators of a placement as a bit mask. */
  static long mask(MemberPlacement placement) {
    long mask = 0;
    for (int accelerator : placement.accelerators()) {
      mask |= 1L << accelerator;
    }
    return mask;
  }

  private int @Nullable [] bestGroup(
      long[] masks, BitSet allowedWorkers, Shape shape, Span span, int[] preferences) {
    int[] best = null;
    int bestFree = Integer.MAX_VALUE;
    for (int[] group : topology.groups(span)) {
      int capacity = 0;
      int free = 0;
      for (int index : group) {
        if (masks[index] != 0 && allowedWorkers.get(index)) {
          capacity += blockTable.capacity(masks[index], shape.acceleratorsPerMember());
          free += Long.bitCount(masks[index]);
          free -=
              index < preferences.length ? preferences[index] * PREFERENCE_WEIGHT_ACCELERATORS : 0;
        }
      }
      if (capacity >= shape.members() && free < bestFree) {
        best = group;
        bestFree = free;
      }
    }
    return best;
  }

  private List<MemberPlacement> placeMembers(
      long[] masks, BitSet allowedWorkers, Shape shape, int[] group) {
    int blockSize = shape.acceleratorsPerMember();
    List<Integer> order = new ArrayList<>();
    for (int index : group) {
      if (allowedWorkers.get(index) && blockTable.capacity(masks[index], blockSize) > 0) {
        order.add(index);
      }
    }
    order.sort((left, right) -> Long.bitCount(masks[left]) - Long.bitCount(masks[right]));
    List<MemberPlacement> placements = new ArrayList<>();
    for (int index : order) {
      long free = masks[index];
      while (placements.size() < shape.members()) {
        int offset = blockTable.bestOffset(free, blockSize);
        if (offset < 0) {
          break;
        }
        free &= ~BlockTable.blockMask(offset, blockSize);
        placements.add(createPlacement(placements.size(), index, offset, blockSize));
      }
    }
    return placements;
  }

  /** Creates the placement of one member on adjacent accelerators of a worker. */
  MemberPlacement createPlacement(int member, int worker, int offset, int blockSize) {
    List<Integer> accelerators = IntStream.range(offset, offset + blockSize).boxed().toList();
    return new MemberPlacement(member, topology.worker(worker).name(), accelerators);
  }

  private @Nullable List<MemberPlacement> placeWithoutAccelerators(
      BitSet allowedWorkers, Shape shape) {
    for (int[] group : topology.groups(shape.span())) {
      List<Integer> usable = IntStream.of(group).filter(allowedWorkers::get).boxed().toList();
      if (!usable.isEmpty()) {
        List<MemberPlacement> placements = new ArrayList<>();
        for (int member = 0; member < shape.members(); member++) {
          placements.add(createPlacement(member, usable.get(member % usable.size()), 0, 0));
        }
        return placements;
      }
    }
    return null;
  }
}
