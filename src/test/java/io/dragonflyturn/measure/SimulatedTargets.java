package io.dragonflyturn.measure;

import io.dragonflyturn.internal.request.RequestAttempt;
import io.dragonflyturn.internal.request.RequestTimer;
import io.dragonflyturn.internal.request.TargetClient;
import io.dragonflyturn.internal.request.TargetReply;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** Simulated targets with random service times, in simulated time. */
final class SimulatedTargets implements TargetClient {
  private final RequestTimer timer;
  private final Random random;
  private final double meanMillis;
  private final Map<String, Integer> runs = new HashMap<>();

  /**
   * Creates the targets.
   *
   * @param timer the timer of the simulated time
   * @param random the source of the service times
   * @param meanMillis the mean service time, in milliseconds
   */
  SimulatedTargets(RequestTimer timer, Random random, double meanMillis) {
    this.timer = timer;
    this.random = random;
    this.meanMillis = meanMillis;
  }

  /** Returns how often the targets ran a request. */
  int runsOf(String requestId) {
    return runs.getOrDefault(requestId, 0);
  }

  @Override
  public CompletableFuture<TargetReply> send(String address, RequestAttempt attempt) {
    runs.merge(attempt.requestId(), 1, Integer::sum);
    double millis = meanMillis * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
    CompletableFuture<TargetReply> reply = new CompletableFuture<>();
    timer.schedule(
        Duration.ofNanos((long) (millis * 1_000_000)),
        () -> reply.complete(new TargetReply.Answered("done")));
    return reply;
  }
}
