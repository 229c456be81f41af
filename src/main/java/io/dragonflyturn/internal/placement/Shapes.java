package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Shape;
import java.util.Locale;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Describes shapes in text and finds smaller shapes that fit. */
final class Shapes {
  private Shapes() {}

  static String describe(Shape shape) {
    String span = shape.span().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    return shape.members()
        + " members of "
        + shape.acceleratorsPerMember()
        + " accelerators within one "
        + span;
  }

  /**
   * Returns the largest fitting shape that is smaller than the given one: with fewer members of the
   * same size or, if none fits, with one member of fewer accelerators. Returns null if neither
   * fits.
   *
   * @param fits whether a shape fits; must be true for every shape smaller than one that fits
   */
  static @Nullable Shape largestFitting(Shape shape, Predicate<Shape> fits) {
    int low = 0;
    int high = shape.members() - 1;
    while (low < high) {
      int middle = (low + high + 1) / 2;
      if (fits.test(new Shape(middle, shape.acceleratorsPerMember(), shape.span()))) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low > 0
        ? new Shape(low, shape.acceleratorsPerMember(), shape.span())
        : largestFittingMember(shape, fits);
  }

  private static @Nullable Shape largestFittingMember(Shape shape, Predicate<Shape> fits) {
    for (int blockSize = shape.acceleratorsPerMember() - 1; blockSize > 0; blockSize--) {
      Shape member = new Shape(1, blockSize, shape.span());
      if (fits.test(member)) {
        return member;
      }
    }
    return null;
  }
}
