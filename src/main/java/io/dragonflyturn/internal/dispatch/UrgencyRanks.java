package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * In which order jobs are served, and which runs may be stopped for which.
 *
 * <p>The most urgent jobs of a customer who asks for no more than its guaranteed accelerators come
 * before all others, and may displace the urgent jobs of customers who ask for more than theirs.
 */
final class UrgencyRanks {
  /** The rank of urgent jobs beyond a guarantee. */
  static final int URGENT = 0;

  /** The rank of urgent jobs within a guarantee. */
  static final int GUARANTEED = -1;

  /** The rank of runs that are stopped for no other. */
  static final int NOT_PREEMPTIBLE = Integer.MIN_VALUE;

  private final Map<String, Long> neededAccelerators = new HashMap<>();
  private final CustomerGuarantees guarantees;

  UrgencyRanks(Collection<ActiveJob> jobs, CustomerGuarantees guarantees) {
    this.guarantees = guarantees;
    for (ActiveJob job : jobs) {
      if (job.priority() == URGENT && !job.isEnding()) {
        neededAccelerators.merge(job.submission().customer(), largestStepAccelerators(job), Long::sum);
      }
    }
  }

  private static long largestStepAccelerators(ActiveJob job) {
    long most = 0;
    for (StepSpecification step : job.submission().steps()) {
      most = Math.max(most, (long) step.replicas() * step.demand().accelerators());
    }
    return most;
  }

  /** Returns a job's rank; a lower one is served first and may displace a higher one. */
  int rankOf(ActiveJob job) {
    if (job.priority() != URGENT) {
      return job.priority();
    }
    String customer = job.submission().customer();
    long needed = neededAccelerators.getOrDefault(customer, 0L);
    return needed <= guarantees.acceleratorsOf(customer) ? GUARANTEED : URGENT;
  }
}
