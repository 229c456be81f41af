package io.dragonflyturn.internal.ledger;

import java.time.Duration;

/** Reports how current this instance's copy of a topic is. */
public interface StoreStatus {
  /** Returns whether the latest value of every key has been read since the start. */
  boolean isLoaded();

  /** Returns whether the last call to the store succeeded, recently enough to be current. */
  boolean isReachable();

  /** Returns how long the store has been unreachable; zero while it is reachable. */
  Duration unreachableDuration();
}
