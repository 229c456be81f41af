package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Serves long polls for routing views. A poll returns at once if the view differs from the one that
 * the entry knows, and otherwise waits for a change.
 */
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
   * Returns the full view if its version differs from the known one, or a view without content if
   * there is no change before the wait ends.
   */
  RoutingView poll(Supplier<RoutingView> viewSupplier, long knownVersion, Duration maximumWait) {
    Instant deadline = monotonic.instant().plus(maximumWait);
    while (true) {
      long offset = appliedOffset.getAsLong();
      RoutingView view = viewSupplier.get();
      if (view.version() != knownVersion) {
        return view;
      }
      Duration remaining = Duration.between(monotonic.instant(), deadline);
      if (!remaining.isPositive() || Thread.currentThread().isInterrupted()) {
        return RoutingViewFactory.unchanged(view);
      }
      awaitChange(offset, remaining);
    }
  }

  private void awaitChange(long offset, Duration remaining) {
    try {
      offsets.await(offset + 1, remaining);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until an offset is applied or the maximum wait is over. */
  interface OffsetWaiter {
    boolean await(long offset, Duration maximumWait) throws InterruptedException;
  }
}
