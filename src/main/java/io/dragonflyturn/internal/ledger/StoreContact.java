package io.dragonflyturn.internal.ledger;

import java.time.Duration;

/** How current a view of the store is. */
public interface StoreContact {
  /** Says whether the newest records have been read. */
  boolean isListed();

  /** Says whether the store has answered the last call, and lately. */
  boolean isReachable();

  /** Returns how long the store has not answered; zero while it does. */
  Duration silence();
}
