package io.dragonflyturn.scenario;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.Request;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Simulates callers behind a load balancer. Each request goes to a healthy entry, and is retried
 * with the same key if it was not run or if its outcome is unknown.
 */
final class LoadBalancedCallers implements AutoCloseable {
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final Duration RETRY_LIMIT = Duration.ofSeconds(20);
  private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long SEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int ID_BATCH_SIZE = 20;

  private final Deployment deployment;
  private final List<Dragonflyturn> entries;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final ConcurrentHashMap<ResultCode, AtomicInteger> firstAnswers =
      new ConcurrentHashMap<>();
  private final AtomicInteger entryCounter = new AtomicInteger();
  private final Deque<String> issuedIds = new ArrayDeque<>();
  private final List<Future<SentRequest>> sent = new ArrayList<>();
  private volatile boolean stopped;

  LoadBalancedCallers(Deployment deployment) {
    this.deployment = deployment;
    this.entries = deployment.customersAtEachEntry();
  }

  /** Starts sending bookings with issued ids, bookings with chosen keys, and readings in turn. */
  void start() {
    threads.submit(this::sendAtConstantRate);
  }

  /** Stops sending, waits for the requests in flight, and returns the results of all requests. */
  List<SentRequest> stop() {
    stopped = true;
    List<Future<SentRequest>> all;
    synchronized (sent) {
      all = List.copyOf(sent);
    }
    return all.stream().map(ScenarioWorld::outcome).toList();
  }

  /** Returns the number of requests by the result code of their first attempt. */
  Map<ResultCode, Integer> firstAnswers() {
    Map<ResultCode, Integer> counts = new EnumMap<>(ResultCode.class);
    firstAnswers.forEach((code, count) -> counts.put(code, count.get()));
    return counts;
  }

  private void sendAtConstantRate() {
    for (int number = 0; !stopped; number++) {
      Request request = request(number).withDeadline(DEADLINE);
      synchronized (sent) {
        sent.add(threads.submit(() -> sendWithRetries(request)));
      }
      LockSupport.parkNanos(SEND_INTERVAL_NANOS);
    }
  }

  private Request request(int number) {
    return switch (number % 3) {
      case 0 -> {
        String id = nextId();
        yield Request.booking(Instant.now(), "locker " + id).withIssuedId(id);
      }
      case 1 -> Request.booking(Instant.now(), "locker " + number);
      default -> Request.reading(Instant.now(), "slab " + number);
    };
  }

  /** Fetches ids in batches, so that many are used after the entry that issued them has stopped. */
  private String nextId() {
    if (issuedIds.isEmpty()) {
      issuedIds.addAll(healthyEntry().issueRequestIds(ID_BATCH_SIZE));
    }
    return issuedIds.remove();
  }

  private SentRequest sendWithRetries(Request request) {
    long until = System.nanoTime() + RETRY_LIMIT.toNanos();
    SentRequest answer = ScenarioWorld.sendNow(healthyEntry(), request);
    firstAnswers.computeIfAbsent(answer.code(), code -> new AtomicInteger()).incrementAndGet();
    while (isRetryable(answer) && System.nanoTime() < until) {
      LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
      answer = ScenarioWorld.sendNow(healthyEntry(), request);
    }
    return answer;
  }

  private static boolean isRetryable(SentRequest answer) {
    return answer.code().certainty() != ResultCode.Certainty.DONE;
  }

  private Dragonflyturn healthyEntry() {
    for (int step = 0; step < entries.size(); step++) {
      int index = Math.floorMod(entryCounter.getAndIncrement(), entries.size());
      if (deployment.isHealthy(index + 1)) {
        return entries.get(index);
      }
    }
    return entries.getFirst();
  }

  @Override
  public void close() {
    stopped = true;
    threads.shutdownNow();
  }
}
