package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
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
public final class UrgencyRanks {
  /**
   * The rank of urgent jobs of customers that exceed their guarantee. It equals the priority of
   * urgent jobs.
   */
  public static final int URGENT = 0;

  /** The rank of urgent jobs of customers within their guarantee. */
  public static final int GUARANTEED = -1;

  /** The rank of runs that are preempted only for what a customer is guaranteed. */
  public static final int NOT_PREEMPTIBLE = Integer.MIN_VALUE;

  private final Map<String, Long> requestedAccelerators = new HashMap<>();
  private final CustomerDirectory customers;

  /**
   * Ranks jobs.
   *
   * @param unfinishedJobs the jobs whose tasks may still be started
   */
  public UrgencyRanks(Collection<SubmittedJob> unfinishedJobs, CustomerDirectory customers) {
    this.customers = customers;
    for (SubmittedJob job : unfinishedJobs) {
      if (job.queue().priority() == URGENT) {
        requestedAccelerators.merge(job.customer(), largestStepAccelerators(job), Long::sum);
      }
    }
  }

  /**
   * Returns the accelerators that the largest step of a job needs to run all its tasks at the same
   * time.
   */
  private static long largestStepAccelerators(SubmittedJob job) {
    long maximum = 0;
    for (StepSpecification step : job.steps()) {
      maximum = Math.max(maximum, (long) step.replicas() * step.demand().accelerators());
    }
    return maximum;
  }

  /** Returns the rank of a job. Lower ranks are served first and may preempt higher ranks. */
  public int rankOf(SubmittedJob job) {
    if (job.queue().priority() != URGENT) {
      return job.queue().priority();
    }
    long requested = requestedAccelerators.getOrDefault(job.customer(), 0L);
    long guaranteed = customers.termsOf(job.customer()).guaranteedAccelerators();
    return requested <= guaranteed ? GUARANTEED : URGENT;
  }
}
