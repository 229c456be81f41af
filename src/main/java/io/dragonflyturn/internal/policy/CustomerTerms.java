package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;

/**
 * What the configuration grants a customer over all workers.
 *
 * @param guaranteedAccelerators the accelerators that the customer's urgent jobs can always reclaim
 * @param weight the customer's share of a full fleet relative to other customers, and the number of
 *     jobs per second that it may submit before further ones wait behind all others; 0 if the
 *     configuration sets none
 * @param limit the resources that the customer's runs may use at the same time; a component of 0 is
 *     unlimited
 * @param configurationVersion the version of the configuration that the terms were read from; 0 if
 *     the customer is in no configuration
 */
public record CustomerTerms(
    long guaranteedAccelerators, double weight, Resources limit, long configurationVersion) {
  /** The terms of a customer that no configuration names. */
  public static final CustomerTerms NONE = new CustomerTerms(0, 0, Resources.NONE, 0);

  /** Returns whether the use of any resource is limited. */
  public boolean isLimited() {
    return !limit.equals(Resources.NONE);
  }

  /**
   * Returns whether tasks may start beside what the customer uses. While the customer uses more of
   * any resource than its limit, nothing may start.
   *
   * @param used what the customer uses without these tasks
   * @param demand the demand of each task
   */
  public boolean allows(Resources used, Resources demand, int tasks) {
    Resources remaining = unlimitedWhereZero().minus(used);
    return remaining.copiesThatFit(demand, tasks) >= tasks;
  }

  /** Returns whether a step could run if the customer used nothing else; a gang counts whole. */
  public boolean canEverRun(StepSpecification step) {
    return allows(Resources.NONE, step.demand(), step.gang() ? step.replicas() : 1);
  }

  private Resources unlimitedWhereZero() {
    return new Resources(
        limit.processorMillis() == 0 ? Long.MAX_VALUE : limit.processorMillis(),
        limit.memoryMegabytes() == 0 ? Long.MAX_VALUE : limit.memoryMegabytes(),
        limit.accelerators() == 0 ? Integer.MAX_VALUE : limit.accelerators());
  }
}
