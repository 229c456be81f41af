package io.dragonflyturn.internal.workload;

/**
 * What one task occupies on a worker, or what a worker offers.
 *
 * @param processorMillis thousandths of a processor core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long processorMillis, long memoryMegabytes, int accelerators) {
  /** Occupies nothing. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of two demands. */
  public Resources plus(Resources other) {
    return new Resources(
        processorMillis + other.processorMillis,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns what is left of this after another demand is taken from it. */
  public Resources minus(Resources other) {
    return new Resources(
        processorMillis - other.processorMillis,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Says whether a demand fits into this. */
  public boolean canFit(Resources other) {
    return processorMillis >= other.processorMillis
        && memoryMegabytes >= other.memoryMegabytes
        && accelerators >= other.accelerators;
  }

  /** Returns how many copies of a demand fit into this, at most {@code limit}. */
  public int copiesThatFit(Resources demand, int limit) {
    long copies = limit;
    copies = Math.min(copies, quotient(processorMillis, demand.processorMillis, limit));
    copies = Math.min(copies, quotient(memoryMegabytes, demand.memoryMegabytes, limit));
    copies = Math.min(copies, quotient(accelerators, demand.accelerators, limit));
    return (int) Math.max(0, copies);
  }

  private static long quotient(long available, long each, long unbounded) {
    if (available < 0) {
      return 0;
    }
    return each == 0 ? unbounded : available / each;
  }
}
