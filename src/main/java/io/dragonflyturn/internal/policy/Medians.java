package io.dragonflyturn.internal.policy;

import java.util.Arrays;
import java.util.Collection;

/** Statistics that a few extreme values do not change. */
final class Medians {
  /** The standard deviation of a normal distribution, in median absolute deviations. */
  private static final double DEVIATIONS_PER_MEDIAN_DEVIATION = 1.4826;

  private Medians() {}

  /** Returns the median, the mean of the two middle values if their number is even. */
  static double median(Collection<Double> values) {
    double[] sorted = sorted(values);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }

  /**
   * Returns the median; of two middle values the one closer to 0, and 0 if 0 lies between them. One
   * extreme value of two is not believed.
   */
  static double cautiousMedian(Collection<Double> values) {
    double[] sorted = sorted(values);
    int middle = sorted.length / 2;
    double upper = sorted[middle];
    double lower = sorted.length % 2 == 1 ? upper : sorted[middle - 1];
    if (lower <= 0 && upper >= 0) {
      return 0;
    }
    return lower > 0 ? lower : upper;
  }

  /** Returns an estimate of the standard deviation around the median. */
  static double spread(Collection<Double> values) {
    double center = median(values);
    return DEVIATIONS_PER_MEDIAN_DEVIATION
        * median(values.stream().map(value -> Math.abs(value - center)).toList());
  }

  private static double[] sorted(Collection<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    return sorted;
  }
}
