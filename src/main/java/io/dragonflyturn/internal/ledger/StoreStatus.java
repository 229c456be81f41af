package io.dragonflyturn.internal.ledger;

import java.time.Duration;

/** How current a view of the store is. */
public interface StoreStatus {
  /** Says whether the newest records have been read. */
  boolean isLoaded();

  /** Says whether the store has answered the last call, and lately. */
  boolean isReachable();

  /** Returns how long the store has not answered; zero while it does. */
  Duration unreachableDuration();
}
