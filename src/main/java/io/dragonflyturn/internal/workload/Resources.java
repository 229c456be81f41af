package io.dragonflyturn.internal.workload;

/**
 * An amount of resources: the demand of a task, or the capacity of a worker.
 *
 * @param processorMillis processor capacity, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators the number of accelerators
 */
public record Resources(long processorMillis, long memoryMegabytes, int accelerators) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of this and another amount. */
  public Resources plus(Resources other) {
    return new Resources(
        processorMillis + other.processorMillis,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns this amount reduced by another; components may become negative. */
  public Resources minus(Resources other) {
    return new Resources(
        processorMillis - other.processorMillis,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns the sum of several copies of this amount. */
  public Resources times(int copies) {
    return new Resources(processorMillis * copies, memoryMegabytes * copies, accelerators * copies);
  }

  /** Returns whether a demand fits into this amount. */
  public boolean canFit(Resources other) {
    return processorMillis >= other.processorMillis
        && memoryMegabytes >= other.memoryMegabytes
        && accelerators >= other.accelerators;
  }

  /** Returns how many copies of a demand fit into this amount, at most {@code limit}. */
  public int copiesThatFit(Resources demand, int limit) {
    long copies = limit;
    copies = Math.min(copies, quotient(processorMillis, demand.processorMillis, limit));
    copies = Math.min(copies, quotient(memoryMegabytes, demand.memoryMegabytes, limit));
    copies = Math.min(copies, quotient(accelerators, demand.accelerators, limit));
    return (int) Math.max(0, copies);
  }

  private static long quotient(long available, long demand, long limit) {
    if (available < 0) {
      return 0;
    }
    return demand == 0 ? limit : available / demand;
  }
}
