package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;

/** How much of a fleet a customer uses in proportion to its weight. */
public final class CustomerShare {
  /** The weight of a customer without one, where others have a weight. */
  private static final double DEFAULT_WEIGHT = 1;

  private CustomerShare() {}

  /**
   * Returns the largest of the customer's shares of processors, memory, and accelerators (its
   * dominant share); 0 if the fleet is empty.
   */
  public static double dominant(Resources used, Resources capacity) {
    double processors = share(used.processorMillis(), capacity.processorMillis());
    double memory = share(used.memoryMegabytes(), capacity.memoryMegabytes());
    double accelerators = share(used.accelerators(), capacity.accelerators());
    return Math.max(processors, Math.max(memory, accelerators));
  }

  /**
   * Returns the dominant share of a customer divided by its weight; a lower one is served first.
   */
  static double weighted(Resources used, Resources capacity, CustomerTerms terms) {
    double weight = terms.weight() > 0 ? terms.weight() : DEFAULT_WEIGHT;
    return dominant(used, capacity) / weight;
  }

  private static double share(long used, long capacity) {
    return capacity == 0 ? 0 : (double) used / capacity;
  }
}
