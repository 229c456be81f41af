package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.JobSpecification;

/** Checks that a customer stays within its accelerator quota if one more of its jobs is placed. */
final class QuotaCheck {
  private static final int NO_LIMIT = 0;

  private final JobTable jobs;
  private final Configuration configuration;

  QuotaCheck(JobTable jobs, Configuration configuration) {
    this.jobs = jobs;
    this.configuration = configuration;
  }

  Decision check(JobSpecification job) {
    int quota = quota(job.customer());
    if (quota == NO_LIMIT) {
      return Decision.ACCEPTED;
    }
    int held = heldAccelerators(job.customer());
    return held + job.shape().accelerators() <= quota
        ? Decision.ACCEPTED
        : Decision.of(
            ResultCode.QUOTA_EXCEEDED,
            "Customer " + job.customer() + " holds " + held + " of its quota of " + quota + ".");
  }

  private int quota(String customerName) {
    return configuration.customers().stream()
        .filter(customer -> customer.name().equals(customerName))
        .mapToInt(Customer::quotaAccelerators)
        .findFirst()
        .orElse(NO_LIMIT);
  }

  private int heldAccelerators(String customerName) {
    return jobs.active().stream()
        .map(JobRecord::specification)
        .filter(active -> active.customer().equals(customerName))
        .mapToInt(active -> active.shape().accelerators())
        .sum();
  }
}
