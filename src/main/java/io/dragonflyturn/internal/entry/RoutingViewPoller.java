package io.dragonflyturn.internal.entry;

import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.request.RoutingSnapshot;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** Keeps the routing view of an entry up to date by long polling a scheduler. */
public final class RoutingViewPoller implements Supplier<RoutingSnapshot>, AutoCloseable {
  /** The maximum time for which a scheduler delays its answer while nothing changes. */
  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(500);

  /** The delay after a failed poll. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final ControlPlane controlPlane;
  private final Supplier<EntryPresence> presence;
  private final UnaryOperator<RoutingView> filter;
  private final InstantSource monotonic;
  private final Runnable onUpdate;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private volatile RoutingView received = RoutingView.NONE;
  private volatile RoutingSnapshot snapshot = new RoutingSnapshot(RoutingView.NONE, Instant.EPOCH);

  /**
   * Creates a poller.
   *
   * @param controlPlane the client of the schedulers
   * @param presence supplies the state of this entry that is reported with each poll
   * @param filter applied to each view, for example to remove failure domains in an emergency
   * @param monotonic a time source that never goes backwards
   * @param onUpdate called after each update of the view
   */
  public RoutingViewPoller(
      ControlPlane controlPlane,
      Supplier<EntryPresence> presence,
      UnaryOperator<RoutingView> filter,
      InstantSource monotonic,
      Runnable onUpdate) {
    this.controlPlane = controlPlane;
    this.presence = presence;
    this.filter = filter;
    this.monotonic = monotonic;
    this.onUpdate = onUpdate;
  }

  /** Starts polling. */
  public void start() {
    executor.execute(this::run);
  }

  @Override
  public RoutingSnapshot get() {
    return snapshot;
  }

  /** Applies the filter again to the last received view. */
  public synchronized void reapplyFilter() {
    snapshot = new RoutingSnapshot(filter.apply(received), snapshot.requestedAt());
    onUpdate.run();
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        poll();
      } catch (CompletionException unavailable) {
        pause();
      }
    }
  }

  private void poll() {
    // The scheduler may delay its answer, so the age of the view counts from the request.
    Instant requestedAt = monotonic.instant();
    RoutingView view =
        controlPlane.routingView(presence.get(), received.version(), LONG_POLL_TIMEOUT).join();
    update(view, requestedAt);
  }

  private synchronized void update(RoutingView view, Instant requestedAt) {
    received = view.version() == received.version() ? withFreshness(received, view) : view;
    snapshot = new RoutingSnapshot(filter.apply(received), requestedAt);
    onUpdate.run();
  }

  private static RoutingView withFreshness(RoutingView current, RoutingView latest) {
    return new RoutingView(
        current.version(),
        current.configurationVersion(),
        latest.logAgeMillis(),
        latest.outageForAll(),
        current.customers(),
        current.targets(),
        current.credits(),
        current.entries());
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_DELAY);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
