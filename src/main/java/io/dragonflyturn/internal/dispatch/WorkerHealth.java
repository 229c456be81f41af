package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.WorkerCondition;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks failures of workers, and temporarily excludes unhealthy ones from placement while others
 * are eligible.
 *
 * <p>Failures are counted per job, so that a single job that always fails does not exclude a
 * worker. A worker that fails everything it starts is avoided from its first failure on, so that
 * not every such worker costs several jobs one of their attempts.
 */
final class WorkerHealth {
  /** The number of different jobs that must fail on a worker before it is excluded. */
  private static final int FAILED_JOBS_TO_EXCLUDE = 2;

  private static final long FAILURE_EXCLUSION_MILLIS = 10_000;
  private static final long STALL_EXCLUSION_MILLIS = 8_000;
  private static final long REFUSAL_EXCLUSION_MILLIS = 1_000;

  /** How long a worker stays suspect or proven without further runs. */
  private static final long EVIDENCE_MILLIS = 6_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final InstantSource monotonicClock;
  private final Map<String, History> workers = new HashMap<>();

  WorkerHealth(InstantSource monotonicClock) {
    this.monotonicClock = monotonicClock;
  }

  /** Returns what the latest runs on a worker say about it. */
  WorkerCondition conditionOf(String worker) {
    History history = workers.get(worker);
    return history == null ? WorkerCondition.UNKNOWN : history.condition();
  }

  /**
   * Records that a task completed on a worker, which clears its failures and ends its exclusion.
   */
  void recordCompletion(String worker) {
    History history = new History();
    history.lastSuccessMillis = monotonicClock.millis();
    workers.put(worker, history);
  }

  /** Records that a run which was started on a worker has made its first progress. */
  void recordProgress(String worker) {
    history(worker).lastSuccessMillis = monotonicClock.millis();
  }

  /** Records that a task of a job failed on a worker. */
  void recordFailure(String worker, String job) {
    History history = history(worker);
    history.failedJobs.add(job);
    history.lastFailureMillis = monotonicClock.millis();
    if (history.failedJobs.size() >= FAILED_JOBS_TO_EXCLUDE) {
      history.excludeFor(FAILURE_EXCLUSION_MILLIS);
    }
  }

  /** Records that a worker refused a start order or did not answer it. */
  void recordRefusal(String worker) {
    history(worker).excludeFor(REFUSAL_EXCLUSION_MILLIS);
  }

  /** Records that a run on a worker made no progress. */
  void recordStall(String worker) {
    history(worker).excludeFor(STALL_EXCLUSION_MILLIS);
  }

  private History history(String worker) {
    return workers.computeIfAbsent(worker, id -> new History());
  }

  /** The failures of a worker since its last completed task. */
  private final class History {
    private final Set<String> failedJobs = new HashSet<>();
    private long excludedUntilMillis;
    private long lastSuccessMillis = NEVER;
    private long lastFailureMillis = NEVER;

    WorkerCondition condition() {
      long nowMillis = monotonicClock.millis();
      if (nowMillis < excludedUntilMillis) {
        return WorkerCondition.EXCLUDED;
      }
      if (nowMillis - Math.max(lastSuccessMillis, lastFailureMillis) > EVIDENCE_MILLIS) {
        return WorkerCondition.UNKNOWN;
      }
      return lastFailureMillis >= lastSuccessMillis
          ? WorkerCondition.SUSPECT
          : WorkerCondition.PROVEN;
    }

    void excludeFor(long millis) {
      excludedUntilMillis = Math.max(excludedUntilMillis, monotonicClock.millis() + millis);
    }
  }
}
