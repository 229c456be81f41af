package io.dragonflyturn.measure;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.request.ManualClock;
import io.dragonflyturn.internal.request.RequestCall;
import io.dragonflyturn.internal.request.RequestResponse;
import io.dragonflyturn.internal.request.RequestService;
import io.dragonflyturn.internal.request.RequestSettings;
import io.dragonflyturn.internal.request.RoutingSnapshot;
import io.dragonflyturn.internal.request.TargetOperation;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures request handling at one entry in simulated time: the latency of each claim mode, and the
 * goodput under overload.
 */
public final class RequestMeasurement {
  private static final long SEED = 20260101;
  private static final String CUSTOMER = "kiosks";
  private static final Duration APPEND_TIME = Duration.ofMillis(5);
  private static final double MEAN_SERVICE_MILLIS = 50;
  private static final int WORKERS = 30;
  private static final int SLOTS_PER_WORKER = 1;
  private static final double CAPACITY_PER_SECOND =
      WORKERS * SLOTS_PER_WORKER * 1_000 / MEAN_SERVICE_MILLIS;

  private final ManualClock time = new ManualClock();
  private final Random random = new Random(SEED);
  private final BatchingLog log = new BatchingLog(time, APPEND_TIME);
  private final SimulatedTargets targets = new SimulatedTargets(time, random, MEAN_SERVICE_MILLIS);
  private final RequestService service;
  private final Map<Urgency, RequestCounts> countsByUrgency = new HashMap<>();
  private List<String> identifiers = new ArrayList<>();
  private int sent;
  private int falseRefusals;
  private int duplicateRuns;

  private RequestMeasurement() {
    RoutingView view = view();
    service =
        new RequestService(
            log,
            () -> new RoutingSnapshot(view, time.instant()),
            targets,
            (incarnation, address, call) ->
                CompletableFuture.failedFuture(new IllegalStateException("no other entry")),
            "entry-1",
            time,
            time,
            time,
            new MetricRegistry(),
            RequestSettings.DEFAULT);
    for (Urgency urgency : Urgency.values()) {
      countsByUrgency.put(urgency, new RequestCounts());
    }
  }

  /** Runs all measurements and prints the results. */
  public static void main(String[] arguments) {
    System.out.println("seed " + SEED + ", simulated time");
    for (ClaimMode mode : ClaimMode.values()) {
      new RequestMeasurement().measureClaim(mode);
    }
    for (double load : new double[] {0.5, 0.9, 1.0, 1.1, 1.5, 2.0, 3.0, 5.0}) {
      new RequestMeasurement().measureLoad(load);
    }
  }

  private void measureClaim(ClaimMode mode) {
    int requests = 6_000;
    sendRequests(requests, CAPACITY_PER_SECOND / 3, () -> call(mode, Urgency.NORMAL, 5_000));
    RequestCounts counts = counts(Urgency.NORMAL);
    System.out.printf(
        "claim %-10s requests %d p50 %.1f ms p99 %.1f ms appends/request %.2f failed %d%n",
        mode,
        requests,
        counts.latency.getValueAtPercentile(50) / 1e3,
        counts.latency.getValueAtPercentile(99) / 1e3,
        (double) log.appends() / requests,
        requests - counts.succeeded);
  }

  private void measureLoad(double load) {
    double perSecond = load * CAPACITY_PER_SECOND;
    int seconds = 60;
    Instant start = time.instant();
    sendRequests((int) (perSecond * seconds), perSecond, this::mixedCall);
    double elapsed = Duration.between(start, time.instant()).toMillis() / 1e3;
    int succeeded = countsByUrgency.values().stream().mapToInt(counts -> counts.succeeded).sum();
    RequestCounts urgent = counts(Urgency.URGENT);
    System.out.printf(
        "load %.1fx goodput %.0f/s urgent p50 %.0f ms p99 %.0f ms"
            + " shed U/N/D %.1f/%.1f/%.1f %% doubled %d false not-run %d elapsed %.1f s%n",
        load,
        succeeded / (double) seconds,
        urgent.latency.getValueAtPercentile(50) / 1e3,
        urgent.latency.getValueAtPercentile(99) / 1e3,
        urgent.shedPercent(),
        counts(Urgency.NORMAL).shedPercent(),
        counts(Urgency.DEFERRABLE).shedPercent(),
        duplicateRuns,
        falseRefusals,
        elapsed);
  }

  private RequestCounts counts(Urgency urgency) {
    return countsByUrgency.computeIfAbsent(urgency, unused -> new RequestCounts());
  }

  private RequestCall mixedCall() {
    double fraction = random.nextDouble();
    if (fraction < 0.2) {
      return call(ClaimMode.ISSUED, Urgency.URGENT, 2_000);
    }
    return fraction < 0.7
        ? call(ClaimMode.LOGGED, Urgency.NORMAL, 3_000)
        : call(ClaimMode.IDEMPOTENT, Urgency.DEFERRABLE, 10_000);
  }

  private RequestCall call(ClaimMode mode, Urgency urgency, long deadlineMillis) {
    sent++;
    return new RequestCall(
        CUSTOMER,
        mode == ClaimMode.ISSUED ? nextIdentifier() : "key-" + sent,
        mode == ClaimMode.ISSUED,
        time.millis(),
        TargetOperation.BOOKING,
        urgency,
        deadlineMillis,
        mode == ClaimMode.IDEMPOTENT,
        "");
  }

  private String nextIdentifier() {
    if (identifiers.isEmpty()) {
      identifiers = new ArrayList<>(service.identifiers().issue(CUSTOMER, 256));
    }
    return identifiers.removeLast();
  }

  /**
   * Sends requests with exponentially distributed gaps, and then advances the time until all are
   * answered.
   *
   * @param requests the number of requests
   * @param perSecond the mean number of requests per second
   * @param next creates the next request
   */
  private void sendRequests(int requests, double perSecond, Supplier<RequestCall> next) {
    for (int count = 0; count < requests; count++) {
      double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
      time.advance(Duration.ofNanos((long) (gapSeconds * 1e9)));
      send(next.get());
    }
    time.advance(Duration.ofSeconds(15));
  }

  private void send(RequestCall call) {
    Instant start = time.instant();
    service.handle(call).thenAccept(answer -> recordAnswer(call, answer, start));
  }

  private void recordAnswer(RequestCall call, RequestResponse answer, Instant start) {
    RequestCounts counts = counts(call.urgency());
    counts.total++;
    if (answer.code().isSuccess()) {
      counts.succeeded++;
      counts.latency.recordValue(Duration.between(start, time.instant()).toNanos() / 1_000);
    }
    int runs = targets.runsOf(call.requestId());
    if (answer.code().certainty() == ResultCode.Certainty.NOT_RUN && runs > 0) {
      falseRefusals++;
    }
    if (!call.idempotent() && runs > 1) {
      duplicateRuns++;
    }
  }

  private static RoutingView view() {
    List<Worker> workers =
        IntStream.range(0, WORKERS)
            .mapToObj(
                index ->
                    new Worker(
                        "worker-" + index,
                        "127.0.0.1:" + index,
                        "Salamanca",
                        "rack-" + index / 6,
                        8,
                        30,
                        60_000,
                        8,
                        false,
                        Map.of()))
            .toList();
    Map<String, Integer> credits = new HashMap<>();
    workers.forEach(worker -> credits.put(worker.name(), SLOTS_PER_WORKER));
    return new RoutingView(1, 1, 0, false, List.of(CUSTOMER), workers, credits, Map.of());
  }

  private enum ClaimMode {
    LOGGED,
    ISSUED,
    IDEMPOTENT
  }

  private static final class RequestCounts {
    private final Histogram latency = new Histogram(3);
    private int total;
    private int succeeded;

    double shedPercent() {
      return total == 0 ? 0 : 100.0 * (total - succeeded) / total;
    }
  }
}
