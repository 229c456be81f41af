package io.dragonflyturn.internal.fleet;

/** What became of an order to start or to stop. */
public sealed interface OrderAnswer {
  /**
   * The order was taken.
   *
   * @param clockMillis the worker's steady clock, in milliseconds
   */
  record Taken(long clockMillis) implements OrderAnswer {}

  /**
   * The order was refused and has no effect.
   *
   * @param reason why
   */
  record Refused(Reason reason) implements OrderAnswer {}

  /** There was no answer; the order may be carried out, also later. */
  record Unanswered() implements OrderAnswer {}

  /** Why an order was refused. */
  enum Reason {
    /** A leader with a higher fencing token has given orders. */
    FENCED,
    /** This run, or a later one, was started, stopped or ended there before. */
    OLD_RUN,
    /** The lease of the order had ended when it arrived. */
    LATE,
    /** The worker has no room. */
    NO_ROOM,
    /** The worker is unhealthy and has done nothing. */
    UNHEALTHY,
    /** Another life of the worker answered. */
    OTHER_LIFE,
    /** The worker cannot read the order. */
    MALFORMED
  }
}
