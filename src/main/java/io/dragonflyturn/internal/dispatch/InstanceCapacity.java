package io.dragonflyturn.internal.dispatch;

/**
 * What an instance can carry, which decides how soon it offers itself as leader.
 *
 * <p>Any instance may lead; a small one waits so much longer than a large one that it leads only
 * where no large one is left.
 *
 * @param processorCores the processor time that it may use, in cores of ordinary speed
 * @param linkMegabits the bandwidth of its link, in megabits a second
 */
public record InstanceCapacity(double processorCores, double linkMegabits) {
  /** The processor time that a leader of a few hundred workers uses at its peaks, in cores. */
  private static final double LEADER_CORES = 0.7;

  /** The bandwidth at which lists of runs are no burden to the link, in megabits a second. */
  private static final double LEADER_LINK_MEGABITS = 100;

  private static final long MAXIMUM_DELAY_MILLIS = 600;

  /** Returns how much longer than a large instance this one waits, in milliseconds. */
  long candidacyDelayMillis() {
    double share = Math.min(processorCores / LEADER_CORES, linkMegabits / LEADER_LINK_MEGABITS);
    return Math.round((1 - Math.min(1, share)) * MAXIMUM_DELAY_MILLIS);
  }
}
