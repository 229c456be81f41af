package io.dragonflyturn.internal.dispatch;

/**
 * The capacity of an instance, which determines how soon it becomes a candidate in the leader
 * election.
 *
 * <p>Any instance may become the leader. Small instances wait longer than large ones, so that a
 * small instance leads only if no large instance is available.
 *
 * @param processorCores the processor capacity of the instance, in cores of standard speed
 * @param linkMegabits the bandwidth of its network link, in megabits per second
 */
public record InstanceCapacity(double processorCores, double linkMegabits) {
  /** The peak processor usage of the leader of a few hundred workers, in cores. */
  private static final double LEADER_CORES = 0.7;

  /**
   * The bandwidth at which the lists of runs from workers use only a small share of the link, in
   * megabits per second.
   */
  private static final double LEADER_LINK_MEGABITS = 100;

  private static final long MAXIMUM_DELAY_MILLIS = 600;

  /** Returns how much longer this instance waits than a large instance, in milliseconds. */
  long candidacyDelayMillis() {
    double share = Math.min(processorCores / LEADER_CORES, linkMegabits / LEADER_LINK_MEGABITS);
    return Math.round((1 - Math.min(1, share)) * MAXIMUM_DELAY_MILLIS);
  }
}
