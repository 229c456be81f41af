package io.dragonflyturn.internal.fleet;

import java.util.List;

/** What a worker answers to a {@link PollOrder}. */
public sealed interface PollAnswer {
  /**
   * What runs and what has ended.
   *
   * @param incarnation the start of the worker's life, in milliseconds since 1970
   * @param clockMillis the worker's steady clock, in milliseconds
   * @param running what runs
   * @param ended the ends that are not acknowledged yet
   */
  record Listing(
      long incarnation, long clockMillis, List<RunningTask> running, List<EndedTask> ended)
      implements PollAnswer {
    /** Keeps its own copies. */
    public Listing {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }
  }

  /** The order was refused. */
  record Refused(OrderAnswer.Reason reason) implements PollAnswer {}

  /** There was no answer. */
  record Unanswered() implements PollAnswer {}
}
