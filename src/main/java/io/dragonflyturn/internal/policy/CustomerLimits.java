package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;

/**
 * Decides in a planning round whether a unit keeps its customer within its limit over all workers,
 * and counts the units that the round places.
 *
 * <p>This answers a customer that submits many times its usual load, and a limit that falls far
 * below what is in use. A customer above its limit starts nothing, and the limit stops nothing by
 * itself. A unit counts whole: a gang that fits only in part does not start.
 *
 * <pre>{@code
 * CustomerLimits limits = new CustomerLimits(customers, usage);
 * if (limits.allow(request)) {
 *   limits.charge(request);
 * }
 * }</pre>
 */
public final class CustomerLimits {
  private final CustomerDirectory customers;
  private final CustomerUsage usage;

  /**
   * Creates limits for one round.
   *
   * @param usage what the customers use at the start of the round; it is not changed
   */
  public CustomerLimits(CustomerDirectory customers, CustomerUsage usage) {
    this.customers = customers;
    this.usage = new CustomerUsage(usage);
  }

  /** Returns limits that allow everything. */
  public static CustomerLimits unlimited() {
    return new CustomerLimits(customer -> CustomerTerms.NONE, new CustomerUsage());
  }

  /** Returns whether a unit keeps its customer within its limit. */
  boolean allow(PlacementRequest request) {
    CustomerTerms terms = customers.termsOf(request.customer());
    return !terms.isLimited()
        || terms.allows(usage.of(request.customer()), request.step().demand(), request.tasks());
  }

  /** Counts a unit that starts now, or as soon as the runs that it preempts have ended. */
  void charge(PlacementRequest request) {
    Resources demand = request.step().demand();
    usage.add(request.customer(), demand, request.tasks());
  }
}
