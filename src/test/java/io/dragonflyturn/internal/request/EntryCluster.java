package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Entries that share a control plane, targets, and a manual clock. A test can kill each of them.
 */
final class EntryCluster implements EntryForwarder {
  static final String CUSTOMER = "kiosks";
  static final long DEADLINE_MILLIS = 10_000;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int MAXIMUM_STEPS = 3_000;

  final ManualClock clock = new ManualClock();
  final InMemoryControlPlane controlPlane = new InMemoryControlPlane(clock);
  final FakeTargetClient targets = new FakeTargetClient();
  final MetricRegistry metrics = new MetricRegistry();
  private final Map<String, RequestService> services = new HashMap<>();
  private final Set<String> killed = new HashSet<>();
  private RoutingView view = view(2, 8, false);
  private long logAgeMillis;
  private Duration replicaAge = Duration.ZERO;

  /** Starts an entry with the default settings. */
  RequestService start(String incarnation) {
    return start(incarnation, RequestSettings.DEFAULT);
  }

  RequestService start(String incarnation, RequestSettings settings) {
    RequestService service =
        new RequestService(
            controlPlane,
            this::snapshot,
            targets,
            this,
            incarnation,
            clock,
            clock,
            clock,
            metrics,
            settings);
    services.put(incarnation, service);
    return service;
  }

  /** Advances the time until a response arrives, and returns it. */
  RequestResponse responseOf(CompletableFuture<RequestResponse> response) {
    for (int step = 0; step < MAXIMUM_STEPS && !response.isDone(); step++) {
      clock.advance(STEP);
    }
    assertThat(response).isDone();
    return response.join();
  }

  /** Makes an entry unreachable while the routing view still lists it. */
  void kill(String incarnation) {
    killed.add(incarnation);
  }

  /** Sets the number of targets and the slots of each entry at each target. */
  void setTargets(int count, int slotsEach) {
    view = view(count, slotsEach, view.outageForAll());
    services.values().forEach(RequestService::routingChanged);
  }

  /**
   * Sets the age of the control state at the replica, and whether all instances are affected by the
   * same outage.
   */
  void setLogAge(Duration age, boolean outageForAll) {
    logAgeMillis = age.toMillis();
    view = view(view.targets().size(), 8, outageForAll);
  }

  /** Sets how long ago the replica last sent a routing view to the entries. */
  void setReplicaAge(Duration age) {
    replicaAge = age;
  }

  @Override
  public CompletableFuture<RequestResponse> forward(
      String incarnation, String address, RequestCall call) {
    RequestService owner = services.get(incarnation);
    return owner == null || killed.contains(incarnation)
        ? CompletableFuture.failedFuture(new IllegalStateException("The entry was killed."))
        : owner.handleForwarded(call);
  }

  private RoutingSnapshot snapshot() {
    Map<String, String> entries = new HashMap<>();
    services.keySet().forEach(name -> entries.put(name, name));
    RoutingView current =
        new RoutingView(
            1,
            1,
            logAgeMillis,
            view.outageForAll(),
            List.of(CUSTOMER),
            view.targets(),
            view.credits(),
            entries);
    return new RoutingSnapshot(current, clock.instant().minus(replicaAge));
  }

  private static RoutingView view(int targets, int slotsEach, boolean outageForAll) {
    List<Worker> workers =
        IntStream.range(0, targets).mapToObj(index -> worker("worker-" + index)).toList();
    Map<String, Integer> credits = new HashMap<>();
    workers.forEach(worker -> credits.put(worker.name(), slotsEach));
    return new RoutingView(1, 1, 0, outageForAll, List.of(CUSTOMER), workers, credits, Map.of());
  }

  static Worker worker(String name) {
    return new Worker(name, name + ":80", "Salamanca", "rack", 8, 30, 60_000, 8, false, Map.of());
  }

  /** Returns a non-idempotent call with a key chosen by the caller. */
  RequestCall callWithKey(String key) {
    return call(key, false, false, Urgency.NORMAL);
  }

  /** Returns a non-idempotent call with an issued identifier. */
  RequestCall callWithIssuedIdentifier(String identifier) {
    return call(identifier, true, false, Urgency.NORMAL);
  }

  /** Returns an idempotent call. */
  RequestCall idempotentCall(String key, Urgency urgency) {
    return call(key, false, true, urgency);
  }

  private RequestCall call(String id, boolean issued, boolean idempotent, Urgency urgency) {
    return new RequestCall(
        CUSTOMER,
        id,
        issued,
        clock.millis(),
        TargetOperation.BOOKING,
        urgency,
        DEADLINE_MILLIS,
        idempotent,
        "body");
  }
}
