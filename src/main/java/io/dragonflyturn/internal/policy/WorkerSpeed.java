package io.dragonflyturn.internal.policy;

/**
 * How fast a worker runs tasks, compared with the other workers that ran tasks of the same steps.
 *
 * @param factor the relative speed; 1 is the speed of a typical worker, 0.5 takes twice as long
 * @param samples the number of tasks that the factor is based on
 * @param ageMillis how long ago the latest of these tasks was observed, in milliseconds
 */
public record WorkerSpeed(double factor, int samples, long ageMillis) {
  /** The speed of a worker of which nothing is known. */
  public static final WorkerSpeed UNKNOWN = new WorkerSpeed(1.0, 0, 0);

  /** The number of tasks that say more than that one of them is unusual. */
  private static final int MINIMUM_SAMPLES = 2;

  /** The factor up to which a worker is slow; a wider range would name chance a difference. */
  private static final double MAXIMUM_SLOW_FACTOR = 0.7;

  /** The factor from which a worker is fast. */
  private static final double MINIMUM_FAST_FACTOR = 1.4;

  /** How a worker compares with a typical one, where the difference is more than chance. */
  public enum Grade {
    /** The worker takes clearly longer. */
    SLOW,
    /** The worker is like most others, or too little is known about it. */
    TYPICAL,
    /** The worker takes clearly less time. */
    FAST
  }

  /** Returns how the worker compares with a typical one. */
  public Grade grade() {
    if (samples < MINIMUM_SAMPLES) {
      return Grade.TYPICAL;
    }
    if (factor <= MAXIMUM_SLOW_FACTOR) {
      return Grade.SLOW;
    }
    return factor >= MINIMUM_FAST_FACTOR ? Grade.FAST : Grade.TYPICAL;
  }

  /** Returns the factor to expect of the worker, which is 1 unless it is slow or fast. */
  public double expectedFactor() {
    return grade() == Grade.TYPICAL ? 1.0 : factor;
  }
}
