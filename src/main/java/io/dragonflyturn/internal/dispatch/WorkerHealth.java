package io.dragonflyturn.internal.dispatch;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which workers recent runs give reason to avoid.
 *
 * <p>Failures count by job, so that one job that can never be done condemns no worker.
 */
final class WorkerHealth {
  private static final int FAILED_JOBS_TO_EXCLUDE = 2;
  private static final long FAILURE_EXCLUSION_MILLIS = 10_000;
  private static final long STALL_EXCLUSION_MILLIS = 8_000;
  private static final long REFUSAL_EXCLUSION_MILLIS = 1_000;

  private final InstantSource monotonicClock;
  private final Map<String, History> workers = new HashMap<>();

  WorkerHealth(InstantSource monotonicClock) {
    this.monotonicClock = monotonicClock;
  }

  boolean isHealthy(String worker) {
    History history = workers.get(worker);
    return history == null || monotonicClock.millis() >= history.excludedUntilMillis;
  }

  void recordCompletion(String worker) {
    workers.remove(worker);
  }

  void recordFailure(String worker, String job) {
    History history = history(worker);
    history.failedJobs.add(job);
    if (history.failedJobs.size() >= FAILED_JOBS_TO_EXCLUDE) {
      history.excludeFor(FAILURE_EXCLUSION_MILLIS);
    }
  }

  void recordRefusal(String worker) {
    history(worker).excludeFor(REFUSAL_EXCLUSION_MILLIS);
  }

  void recordStall(String worker) {
    history(worker).excludeFor(STALL_EXCLUSION_MILLIS);
  }

  private History history(String worker) {
    return workers.computeIfAbsent(worker, id -> new History());
  }

  private final class History {
    private final Set<String> failedJobs = new HashSet<>();
    private long excludedUntilMillis;

    void excludeFor(long millis) {
      excludedUntilMillis = Math.max(excludedUntilMillis, monotonicClock.millis() + millis);
    }
  }
}
