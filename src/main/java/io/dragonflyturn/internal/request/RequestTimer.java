package io.dragonflyturn.internal.request;

import java.time.Duration;

/** Runs short actions later. */
public interface RequestTimer {
  /** Runs an action after a delay, unless it is cancelled before. */
  Cancellable schedule(Duration delay, Runnable action);

  /** Withdraws a scheduled action. */
  @FunctionalInterface
  interface Cancellable {
    /** Withdraws the action; does nothing where it ran already. */
    void cancel();
  }
}
