package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Determines whether a non-stoppable job fits an idle fleet together with all guarantees. It tries
 * the placements most likely to fit and then searches all others exhaustively, up to a limit.
 */
final class GuaranteeFitSearch {
  /** Limit on trials times workers, because each trial scans all workers. */
  private static final int MAXIMUM_TRIALS_TIMES_WORKERS = 100_000;

  private final Topology topology;
  private final BlockSearch blockSearch;
  private final GuaranteeAdmission admission;
  private final String customer;
  private final BitSet allowedWorkers;
  private int remainingTrials;

  GuaranteeFitSearch(
      Topology topology,
      BlockTable blockTable,
      GuaranteeAdmission admission,
      String customer,
      BitSet allowedWorkers) {
    this.topology = topology;
    this.admission = admission;
    this.customer = customer;
    this.allowedWorkers = allowedWorkers;
    blockSearch = new BlockSearch(topology, blockTable);
  }

  /** Returns whether the shape fits, or {@link FitResult#UNKNOWN} if the limit was reached. */
  FitResult search(Shape shape) {
    if (shape.acceleratorsPerMember() == 0
        || fitsWithin(admission.unguaranteedWithAnyDomainOut(), shape)
        || fitsWithin(topology.fullMasks(), shape)) {
      return FitResult.FITS;
    }
    if (admission.exceedsUnguaranteedCapacity(customer, shape)) {
      return FitResult.NEVER;
    }
    remainingTrials = MAXIMUM_TRIALS_TIMES_WORKERS / Math.max(1, topology.size());
    for (int[] group : topology.groups(shape.span())) {
      if (placeRemainingMembers(0, group, topology.fullMasks(), shape, List.of())) {
        return FitResult.FITS;
      }
    }
    return remainingTrials > 0 ? FitResult.NEVER : FitResult.UNKNOWN;
  }

  private boolean fitsWithin(long[] masks, Shape shape) {
    List<MemberPlacement> placements = blockSearch.find(masks, allowedWorkers, shape);
    return placements != null && admission.admits(customer, shape, placements);
  }

  /**
   * Tries every placement of the next member, but only one of several interchangeable workers.
   * Admission is checked for the whole gang only: the packing is greedy and may fail for a partial
   * gang although it succeeds for the whole one.
   */
  private boolean placeRemainingMembers(
      int firstPosition, int[] group, long[] masks, Shape shape, List<MemberPlacement> placed) {
    if (placed.size() == shape.members()) {
      return admission.admits(customer, shape, placed);
    }
    for (int position = firstPosition; position < group.length; position++) {
      int worker = group[position];
      boolean equivalent =
          position > firstPosition && areInterchangeable(group[position - 1], worker, masks);
      if (allowedWorkers.get(worker)
          && !equivalent
          && placeMemberOn(position, group, masks, shape, placed)) {
        return true;
      }
    }
    return false;
  }

  private boolean placeMemberOn(
      int position, int[] group, long[] masks, Shape shape, List<MemberPlacement> placed) {
    int worker = group[position];
    int blockSize = shape.acceleratorsPerMember();
    for (int offset = 0; offset + blockSize <= topology.worker(worker).accelerators(); offset++) {
      long block = BlockTable.blockMask(offset, blockSize);
      if ((masks[worker] & block) != block) {
        continue;
      }
      if (remainingTrials == 0) {
        return false;
      }
      remainingTrials--;
      List<MemberPlacement> placements = new ArrayList<>(placed);
      placements.add(blockSearch.createPlacement(placed.size(), worker, offset, blockSize));
      long[] remaining = masks.clone();
      remaining[worker] &= -1L << offset & ~block;
      if (placeRemainingMembers(position, group, remaining, shape, placements)) {
        return true;
      }
    }
    return false;
  }

  private boolean areInterchangeable(int first, int second, long[] masks) {
    return topology.groupOf(Span.RACK, first) == topology.groupOf(Span.RACK, second)
        && masks[first] == masks[second]
        && allowedWorkers.get(first) == allowedWorkers.get(second)
        && admission.areInterchangeable(first, second);
  }

  /** The result of the search for a shape. */
  enum FitResult {
    /** Some placement leaves all guarantees reclaimable. */
    FITS,
    /** No placement leaves all guarantees reclaimable. */
    NEVER,
    /** The search reached its limit. */
    UNKNOWN
  }
}
