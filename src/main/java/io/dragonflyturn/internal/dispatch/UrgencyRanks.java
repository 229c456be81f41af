package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Ranks jobs by urgency. The rank determines the order in which jobs are served and which runs may
 * preempt which.
 *
 * <p>Urgent jobs of a customer that requests no more than its guaranteed accelerators rank first.
 * They may preempt urgent jobs of customers that request more than their guarantee.
 */
final class UrgencyRanks {
  /**
   * The rank of urgent jobs of customers that exceed their guarantee. It equals the priority of
   * urgent jobs.
   */
  static final int URGENT = 0;

  /** The rank of urgent jobs of customers within their guarantee. */
  static final int GUARANTEED = -1;

  /** The rank of runs that are never preempted. */
  static final int NOT_PREEMPTIBLE = Integer.MIN_VALUE;

  private final Map<String, Long> requestedAccelerators = new HashMap<>();
  private final CustomerGuarantees guarantees;

  UrgencyRanks(Collection<ActiveJob> jobs, CustomerGuarantees guarantees) {
    this.guarantees = guarantees;
    for (ActiveJob job : jobs) {
      if (job.priority() == URGENT && !job.isEnding()) {
        requestedAccelerators.merge(
            job.submission().customer(), largestStepAccelerators(job), Long::sum);
      }
    }
  }

  /**
   * Returns the accelerators that the largest step of a job needs to run all its tasks at the same
   * time.
   */
  private static long largestStepAccelerators(ActiveJob job) {
    long maximum = 0;
    for (StepSpecification step : job.submission().steps()) {
      maximum = Math.max(maximum, (long) step.replicas() * step.demand().accelerators());
    }
    return maximum;
  }

  /** Returns the rank of a job. Lower ranks are served first and may preempt higher ranks. */
  int rankOf(ActiveJob job) {
    if (job.priority() != URGENT) {
      return job.priority();
    }
    String customer = job.submission().customer();
    long requested = requestedAccelerators.getOrDefault(customer, 0L);
    return requested <= guarantees.acceleratorsOf(customer) ? GUARANTEED : URGENT;
  }
}
