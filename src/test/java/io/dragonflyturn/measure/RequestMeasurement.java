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
 * Measures request handling at one entry in the time of a test clock: both ways of claiming side by
 * side, and goodput under overload.
 */
public final class RequestMeasurement {
  private static final long SEED = 20260101;
  private static final String CUSTOMER = "kiosks";
  private static final Duration APPEND_TIME = Duration.ofMillis(5);
  private static final double MEAN_SERVICE_MILLIS = 50;
  private static final int WORKERS = 30;
  private static final int SLOTS_EACH = 1;
  private static final double CAPACITY_PER_SECOND =
      WORKERS * SLOTS_EACH * 1_000 / MEAN_SERVICE_MILLIS;

  private final ManualClock time = new ManualClock();
  private final Random random = new Random(SEED);
  private final BatchingLog log = new BatchingLog(time, APPEND_TIME);
  private final SimulatedTargets targets = new SimulatedTargets(time, random, MEAN_SERVICE_MILLIS);
  private final RequestService service;
  private final Map<Urgency, Tally> tallies = new HashMap<>();
  private List<String> identifiers = new ArrayList<>();
  private int sent;
  private int falseRefusals;
  private int doubled;

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
      tallies.put(urgency, new Tally());
    }
  }

  /** Prints the measurement. */
  public static void main(String[] arguments) {
    System.out.println("seed " + SEED + ", time of a test clock");
    for (Way way : Way.values()) {
      new RequestMeasurement().measureClaim(way);
    }
    for (double load : new double[] {0.5, 0.9, 1.0, 1.1, 1.5, 2.0, 3.0, 5.0}) {
      new RequestMeasurement().measureLoad(load);
    }
  }

  private void measureClaim(Way way) {
    int requests = 6_000;
    drive(requests, CAPACITY_PER_SECOND / 3, () -> call(way, Urgency.NORMAL, 5_000));
    Tally tally = tally(Urgency.NORMAL);
    System.out.printf(
        "claim %-10s requests %d p50 %.1f ms p99 %.1f ms appends/request %.2f failed %d%n",
        way,
        requests,
        tally.latency.getValueAtPercentile(50) / 1e3,
        tally.latency.getValueAtPercentile(99) / 1e3,
        (double) log.appends() / requests,
        requests - tally.good);
  }

  private void measureLoad(double load) {
    double perSecond = load * CAPACITY_PER_SECOND;
    int seconds = 60;
    Instant start = time.instant();
    drive((int) (perSecond * seconds), perSecond, this::mixedCall);
    double elapsed = Duration.between(start, time.instant()).toMillis() / 1e3;
    int good = tallies.values().stream().mapToInt(tally -> tally.good).sum();
    Tally urgent = tally(Urgency.URGENT);
    System.out.printf(
        "load %.1fx goodput %.0f/s urgent p50 %.0f ms p99 %.0f ms"
            + " shed U/N/D %.1f/%.1f/%.1f %% doubled %d false not-run %d elapsed %.1f s%n",
        load,
        good / (double) seconds,
        urgent.latency.getValueAtPercentile(50) / 1e3,
        urgent.latency.getValueAtPercentile(99) / 1e3,
        urgent.shedPercent(),
        tally(Urgency.NORMAL).shedPercent(),
        tally(Urgency.DEFERRABLE).shedPercent(),
        doubled,
        falseRefusals,
        elapsed);
  }

  private Tally tally(Urgency urgency) {
    return tallies.computeIfAbsent(urgency, unused -> new Tally());
  }

  private RequestCall mixedCall() {
    double draw = random.nextDouble();
    if (draw < 0.2) {
      return call(Way.ISSUED, Urgency.URGENT, 2_000);
    }
    return draw < 0.7
        ? call(Way.LOGGED, Urgency.NORMAL, 3_000)
        : call(Way.IDEMPOTENT, Urgency.DEFERRABLE, 10_000);
  }

  private RequestCall call(Way way, Urgency urgency, long deadlineMillis) {
    sent++;
    return new RequestCall(
        CUSTOMER,
        way == Way.ISSUED ? nextIdentifier() : "key-" + sent,
        way == Way.ISSUED,
        time.millis(),
        TargetOperation.BOOKING,
        urgency,
        deadlineMillis,
        way == Way.IDEMPOTENT,
        "");
  }

  private String nextIdentifier() {
    if (identifiers.isEmpty()) {
      identifiers = new ArrayList<>(service.identifiers().issue(CUSTOMER, 256));
    }
    return identifiers.removeLast();
  }

  /** Sends calls at random times with a mean rate, and waits until all are answered. */
  private void drive(int requests, double perSecond, Supplier<RequestCall> next) {
    for (int count = 0; count < requests; count++) {
      double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
      time.advance(Duration.ofNanos((long) (gapSeconds * 1e9)));
      send(next.get());
    }
    time.advance(Duration.ofSeconds(15));
  }

  private void send(RequestCall call) {
    Instant start = time.instant();
    service.handle(call).thenAccept(answer -> take(call, answer, start));
  }

  private void take(RequestCall call, RequestResponse answer, Instant start) {
    Tally tally = tally(call.urgency());
    tally.all++;
    if (answer.code().isSuccess()) {
      tally.good++;
      tally.latency.recordValue(Duration.between(start, time.instant()).toNanos() / 1_000);
    }
    int runs = targets.runsOf(call.requestId());
    if (answer.code().certainty() == ResultCode.Certainty.NOT_RUN && runs > 0) {
      falseRefusals++;
    }
    if (!call.idempotent() && runs > 1) {
      doubled++;
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
    workers.forEach(worker -> credits.put(worker.name(), SLOTS_EACH));
    return new RoutingView(1, 1, 0, false, List.of(CUSTOMER), workers, credits, Map.of());
  }

  private enum Way {
    LOGGED,
    ISSUED,
    IDEMPOTENT
  }

  private static final class Tally {
    private final Histogram latency = new Histogram(3);
    private int all;
    private int good;

    double shedPercent() {
      return all == 0 ? 0 : 100.0 * (all - good) / all;
    }
  }
}
