package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Shape;
import java.util.BitSet;

/**
 * A shape that must be reclaimable for a customer: one of its guaranteed shapes, or the part that
 * its non-stoppable jobs do not use.
 *
 * @param customer the name of the customer
 * @param shape the accelerators that must be available at the same time
 * @param allowedWorkers the indexes of the workers on which jobs of the customer may run
 */
record Guarantee(String customer, Shape shape, BitSet allowedWorkers) {
  String describe() {
    return customer + ": " + Shapes.describe(shape);
  }
}
