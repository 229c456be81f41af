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

/** Entries that share a log, targets, and a test clock, and can be killed. */
final class TestEntries implements EntryForwarder {
  static final String CUSTOMER = "kiosks";
  static final long DEADLINE_MILLIS = 10_000;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int MOST_STEPS = 3_000;

  final ManualClock time = new ManualClock();
  final InMemoryControlPlane log = new InMemoryControlPlane(time);
  final FakeTargets targets = new FakeTargets();
  final MetricRegistry metrics = new MetricRegistry();
  private final Map<String, RequestService> services = new HashMap<>();
  private final Set<String> killed = new HashSet<>();
  private RoutingView view = view(2, 8, false);
  private long logAgeMillis;
  private Duration replicaAge = Duration.ZERO;

  /** Starts an entry. */
  RequestService start(String incarnation) {
    return start(incarnation, RequestSettings.DEFAULTS);
  }

  RequestService start(String incarnation, RequestSettings settings) {
    RequestService service =
        new RequestService(
            log, this::snapshot, targets, this, incarnation, time, time, time, metrics, settings);
    services.put(incarnation, service);
    return service;
  }

  /** Moves the time on until an answer is there, and returns it. */
  RequestResponse answerOf(CompletableFuture<RequestResponse> answer) {
    for (int step = 0; step < MOST_STEPS && !answer.isDone(); step++) {
      time.advance(STEP);
    }
    assertThat(answer).isDone();
    return answer.join();
  }

  /** Makes an entry unreachable, while the routing view still lists it. */
  void kill(String incarnation) {
    killed.add(incarnation);
  }

  /** Sets the targets and the slots at each of them. */
  void setTargets(int count, int slotsEach) {
    view = view(count, slotsEach, view.outageForAll());
    services.values().forEach(RequestService::routingChanged);
  }

  /** Sets how old the news of the replica is, and whether all replicas share the outage. */
  void setLogAge(Duration age, boolean outageForAll) {
    logAgeMillis = age.toMillis();
    view = view(view.targets().size(), 8, outageForAll);
  }

  /** Sets how long ago the replica last answered the entries. */
  void setReplicaAge(Duration age) {
    replicaAge = age;
  }

  @Override
  public CompletableFuture<RequestResponse> forward(
      String incarnation, String address, RequestCall call) {
    RequestService owner = services.get(incarnation);
    return owner == null || killed.contains(incarnation)
        ? CompletableFuture.failedFuture(new IllegalStateException("The entry is gone."))
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
    return new RoutingSnapshot(current, time.instant().minus(replicaAge));
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

  /** Returns a non-idempotent call under a key that the caller chose. */
  RequestCall logged(String key) {
    return call(key, false, false, Urgency.NORMAL);
  }

  /** Returns a non-idempotent call under an issued identifier. */
  RequestCall issued(String identifier) {
    return call(identifier, true, false, Urgency.NORMAL);
  }

  /** Returns an idempotent call. */
  RequestCall idempotent(String key, Urgency urgency) {
    return call(key, false, true, urgency);
  }

  private RequestCall call(String id, boolean issued, boolean idempotent, Urgency urgency) {
    return new RequestCall(
        CUSTOMER,
        id,
        issued,
        time.millis(),
        TargetOperation.BOOKING,
        urgency,
        DEADLINE_MILLIS,
        idempotent,
        "body");
  }
}
