package io.dragonflyturn.internal.request;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** One entry on the time of the machine, with one target of 8 slots and no other entry. */
public final class SingleEntry {
  private static final int SLOTS = 8;

  private SingleEntry() {}

  /** Returns the service of the entry. */
  public static RequestService service(TargetClient target, RequestTimer timer) {
    RoutingView view =
        new RoutingView(
            1,
            1,
            0,
            false,
            List.of(TestEntries.CUSTOMER),
            List.of(TestEntries.worker("w")),
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
        RequestSettings.DEFAULTS);
  }
}
