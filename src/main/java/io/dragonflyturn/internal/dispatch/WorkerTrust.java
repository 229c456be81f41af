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
final class WorkerTrust {
  private static final int JOBS_THAT_CONDEMN = 2;
  private static final long FAILED_JOBS_MILLIS = 10_000;
  private static final long STALLED_MILLIS = 8_000;
  private static final long REFUSED_MILLIS = 1_000;

  private final InstantSource steady;
  private final Map<String, Evidence> workers = new HashMap<>();

  WorkerTrust(InstantSource steady) {
    this.steady = steady;
  }

  boolean isTrusted(String worker) {
    Evidence evidence = workers.get(worker);
    return evidence == null || steady.millis() >= evidence.avoidUntilMillis;
  }

  void completed(String worker) {
    workers.remove(worker);
  }

  void failed(String worker, String job) {
    Evidence evidence = evidence(worker);
    evidence.failedJobs.add(job);
    if (evidence.failedJobs.size() >= JOBS_THAT_CONDEMN) {
      evidence.avoidFor(FAILED_JOBS_MILLIS);
    }
  }

  void refused(String worker) {
    evidence(worker).avoidFor(REFUSED_MILLIS);
  }

  void stalled(String worker) {
    evidence(worker).avoidFor(STALLED_MILLIS);
  }

  private Evidence evidence(String worker) {
    return workers.computeIfAbsent(worker, id -> new Evidence());
  }

  private final class Evidence {
    private final Set<String> failedJobs = new HashSet<>();
    private long avoidUntilMillis;

    void avoidFor(long millis) {
      avoidUntilMillis = Math.max(avoidUntilMillis, steady.millis() + millis);
    }
  }
}
