package io.dragonflyturn.internal.fleet;

/** The result of a {@link StartOrder} or a {@link StopOrder}. */
public sealed interface OrderAnswer {
  /**
   * The worker accepted the order.
   *
   * @param clockMillis the current time of the worker's monotonic clock, in milliseconds
   */
  record Taken(long clockMillis) implements OrderAnswer {}

  /**
   * The worker refused the order, which has no effect.
   *
   * @param reason why the worker refused
   */
  record Refused(Reason reason) implements OrderAnswer {}

  /** The worker did not answer; the order may have been executed or may still be executed. */
  record Unanswered() implements OrderAnswer {}

  /** Why a worker refused an order. */
  enum Reason {
    /**
     * The worker has accepted an order with a higher fencing token: of a later leader, or of this
     * one, for a later life of the worker.
     */
    FENCED,
    /**
     * This run or a later run of the task has already been started, stopped or ended on the worker.
     */
    OLD_RUN,
    /** The lease of the order had expired when the order arrived. */
    LATE,
    /** The worker has insufficient free resources. */
    NO_ROOM,
    /** The worker is unhealthy and did not execute the order. */
    UNHEALTHY,
    /** The worker that answered is another incarnation than the one addressed. */
    OTHER_LIFE,
    /** The worker could not parse the order. */
    MALFORMED
  }
}
