package io.dragonflyturn.internal.dispatch;

import java.time.Duration;

/**
 * Whether this leader would know of a worker that has started again. A worker registers at its
 * start, so it is known unless the store, or this leader's copy of the registrations, was out of
 * date lately.
 */
final class RegistryView {
  /** How old the copy may be; a read that waits for news takes up to a second. */
  private static final Duration MAXIMUM_AGE = Duration.ofSeconds(3);

  /** How long after an outage of the store workers need to be registered again. */
  private static final long RETURN_MILLIS = 2_000;

  private final WorkerFeed feed;
  private long lastOutdatedMillis = Long.MIN_VALUE / 2;

  RegistryView(WorkerFeed feed) {
    this.feed = feed;
  }

  /** Looks at the age of the copy; called regularly. */
  void observe(long nowMillis) {
    if (!feed.isSynced() || feed.age().compareTo(MAXIMUM_AGE) > 0) {
      lastOutdatedMillis = nowMillis;
    }
  }

  /** Returns whether every worker that has started again and reaches the store is known. */
  boolean isComplete(long nowMillis) {
    return nowMillis - lastOutdatedMillis > RETURN_MILLIS;
  }
}
