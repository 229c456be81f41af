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

  /**
   * Returns how old this instance's copy of the topic may be: every record that was stored before
   * then has been read. Unlike {@link #unreachableDuration()}, it counts from when the last
   * complete read was sent, so it is not zero while the store is reachable.
   */
  Duration age();
}
