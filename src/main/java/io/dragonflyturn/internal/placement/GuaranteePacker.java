package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Shape;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/**
 * Packs the guaranteed shapes of all customers into the same accelerators, the most constrained
 * first. The search is greedy: it may miss a packing that exists, but every packing that it reports
 * is valid.
 */
final class GuaranteePacker {
  private static final Comparator<Guarantee> MOST_CONSTRAINED_FIRST =
      Comparator.comparingInt((Guarantee guarantee) -> -guarantee.shape().acceleratorsPerMember())
          .thenComparing(Guarantee::allowedWorkers, GuaranteePacker::compareAllowedWorkers)
          .thenComparing(guarantee -> guarantee.shape().span())
          .thenComparingInt(guarantee -> -guarantee.shape().members());

  private final BlockSearch search;

  GuaranteePacker(BlockSearch search) {
    this.search = search;
  }

  /**
   * Packs as many guarantees as possible.
   *
   * @param masks the accelerators that can be reclaimed, by worker index; the accelerators of
   *     packed guarantees are removed from them
   * @return the guarantees that do not fit
   */
  List<Guarantee> pack(long[] masks, List<Guarantee> guarantees) {
    return packSorted(masks, mostConstrainedFirst(guarantees));
  }

  /** Returns the guarantees in the order in which they are packed. */
  static List<Guarantee> mostConstrainedFirst(List<Guarantee> guarantees) {
    List<Guarantee> sorted = new ArrayList<>(guarantees);
    sorted.sort(MOST_CONSTRAINED_FIRST);
    return sorted;
  }

  /**
   * Packs guarantees that are already in the order of {@link #mostConstrainedFirst}.
   *
   * @return the guarantees that do not fit
   */
  List<Guarantee> packSorted(long[] masks, List<Guarantee> sorted) {
    List<Guarantee> unplaced = new ArrayList<>();
    FreeCapacityIndex index = search.createIndex(masks);
    for (Guarantee guarantee : sorted) {
      Shape shape = guarantee.shape();
      if (shape.acceleratorsPerMember() > 0 && !index.allocate(shape, guarantee.allowedWorkers())) {
        unplaced.add(guarantee);
      }
    }
    return unplaced;
  }

  private static int compareAllowedWorkers(BitSet left, BitSet right) {
    return left == right ? 0 : Integer.compare(left.cardinality(), right.cardinality());
  }
}
