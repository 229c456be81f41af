package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Answers an entry that has a routing view: at once where another one holds, or after a wait. */
final class RoutingViewPoll {
  private final LongSupplier appliedOffset;
  private final OffsetWaiter offsets;
  private final InstantSource monotonic;

  RoutingViewPoll(LongSupplier appliedOffset, OffsetWaiter offsets, InstantSource monotonic) {
    this.appliedOffset = appliedOffset;
    this.offsets = offsets;
    this.monotonic = monotonic;
  }

  /**
   * Returns the whole view where its version is new, or the news that the known one still holds.
   */
  RoutingView ask(Supplier<RoutingView> views, long knownVersion, Duration patience) {
    Instant deadline = monotonic.instant().plus(patience);
    while (true) {
      long offset = appliedOffset.getAsLong();
      RoutingView view = views.get();
      if (view.version() != knownVersion) {
        return view;
      }
      Duration left = Duration.between(monotonic.instant(), deadline);
      if (!left.isPositive() || Thread.currentThread().isInterrupted()) {
        return RoutingViewFactory.unchanged(view);
      }
      awaitChange(offset, left);
    }
  }

  private void awaitChange(long offset, Duration left) {
    try {
      offsets.await(offset + 1, left);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until an offset is applied or the time runs out. */
  interface OffsetWaiter {
    boolean await(long offset, Duration most) throws InterruptedException;
  }
}
