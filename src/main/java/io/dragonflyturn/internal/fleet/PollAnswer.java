package io.dragonflyturn.internal.fleet;

import java.util.List;

/** A worker's answer to a {@link PollOrder}. */
public sealed interface PollAnswer {
  /**
   * Lists the active runs and the ends that are not acknowledged yet.
   *
   * @param incarnation the start time of the worker process, in milliseconds since the epoch;
   *     identifies the worker's incarnation
   * @param clockMillis the current time of the worker's monotonic clock, in milliseconds
   * @param running the active runs
   * @param ended the ended runs whose ends are not acknowledged yet, those with the lowest numbers
   * @param endsComplete whether {@code ended} contains all of them; otherwise a run that is in
   *     neither list may have ended
   */
  record Listing(
      long incarnation,
      long clockMillis,
      List<RunningTask> running,
      List<EndedTask> ended,
      boolean endsComplete)
      implements PollAnswer {
    /** Copies the lists. */
    public Listing {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }
  }

  /**
   * The worker refused the poll.
   *
   * @param reason why the worker refused
   */
  record Refused(OrderAnswer.Reason reason) implements PollAnswer {}

  /** The worker did not answer. */
  record Unanswered() implements PollAnswer {}
}
