package io.dragonflyturn.internal.request;

import java.time.Duration;

/** Schedules short actions. */
public interface RequestTimer {
  /**
   * Runs an action after a delay, unless it is cancelled before.
   *
   * @param delay the delay; zero or less runs the action as soon as possible
   * @param action the action, which must be short
   * @return a handle that cancels the action
   */
  Cancellable schedule(Duration delay, Runnable action);

  /** A scheduled action that can be cancelled. */
  @FunctionalInterface
  interface Cancellable {
    /** Cancels the action; has no effect if it has already run. */
    void cancel();
  }
}
