package io.dragonflyturn.internal.policy;

/**
 * Decides whether what is won by a unit being on time is worth more to callers than the work that
 * others lose.
 *
 * <p>The load that it answers is more work than room for a long time: without a limit, the work
 * that is thrown away takes the room of the work that could be done. Guarantees hold at any cost.
 */
final class PreemptionWorth {
  /**
   * How much work may be lost for a unit of work of an urgent job. Urgent jobs are small, and their
   * callers wait for them.
   */
  private static final double URGENT_FACTOR = 4;

  /** How much work may be lost for a unit of work of another job. */
  private static final double PATIENT_FACTOR = 0.25;

  private PreemptionWorth() {}

  /** Returns whether a unit may cause a loss of work, in core-milliseconds. */
  static boolean justifies(PlacementRequest request, long cost) {
    return request.isWithinGuarantee()
        || (request.tier() == ServiceTier.TIMELY && cost <= of(request));
  }

  /** Returns the work that may be lost at most, in core-milliseconds. */
  static long of(PlacementRequest request) {
    long coreMillis =
        JobObjective.cores(request.step().demand())
            * request.tasks()
            * request.step().estimateMillis();
    boolean isUrgent = request.rank() <= UrgencyRanks.URGENT;
    return (long) (coreMillis * (isUrgent ? URGENT_FACTOR : PATIENT_FACTOR));
  }
}
