package io.dragonflyturn.internal.request;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Creates the request service of a single entry on the system clock, with one target of 8 slots.
 */
public final class SingleEntry {
  private static final int SLOTS = 8;

  private SingleEntry() {}

  /** Returns a request service that sends its attempts through the given client. */
  public static RequestService service(TargetClient target, RequestTimer timer) {
    RoutingView view =
        new RoutingView(
            1,
            1,
            0,
            false,
            List.of(EntryCluster.CUSTOMER),
            List.of(EntryCluster.worker("w")),
            Map.of("w", SLOTS),
            Map.of());
    return new RequestService(
        new InMemoryControlPlane(timer),
        () -> new RoutingSnapshot(view, Clock.systemUTC().instant()),
        target,
        (incarnation, address, call) ->
            CompletableFuture.failedFuture(new IllegalStateException("no other entry")),
        "entry-1",
        Clock.systemUTC(),
        Clock.systemUTC(),
        timer,
        new MetricRegistry(),
        RequestSettings.DEFAULT);
  }
}
