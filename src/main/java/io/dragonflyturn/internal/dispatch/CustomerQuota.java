package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.CustomerDirectory;
import io.dragonflyturn.internal.policy.CustomerTerms;
import io.dragonflyturn.internal.policy.CustomerUsage;
import io.dragonflyturn.internal.workload.Resources;

/**
 * What the runs of each customer use, and whether a start order keeps its customer within its
 * limit. Each member of a run counts until it is resolved, wherever it was placed: on a worker that
 * is silent, that drains, or that is out of service, and also if an earlier leader placed it.
 *
 * <p>Start orders wait in a queue, and the limit may fall meanwhile. So it is checked again for
 * each order, against the runs that have been ordered before. The sums are kept up to date with
 * each change, because both checks are made for every task.
 */
final class CustomerQuota {
  private final CustomerDirectory customers;
  private final CustomerUsage placed = new CustomerUsage();
  private final CustomerUsage ordered = new CustomerUsage();

  CustomerQuota(CustomerDirectory customers) {
    this.customers = customers;
  }

  /** Returns the resources of all unresolved members, by customer. */
  CustomerUsage placed() {
    return placed;
  }

  /** Returns the resources of the unresolved members of all runs that were ordered to start. */
  CustomerUsage ordered() {
    return ordered;
  }

  /** Counts a run that has just been placed. */
  void runPlaced(ActiveRun run) {
    placed.add(customerOf(run), demandOf(run), run.unresolvedMembers());
  }

  /** Counts a run as ordered to start; it stays ordered until it ends. */
  void runOrdered(ActiveRun run) {
    run.markOrdered();
    ordered.add(customerOf(run), demandOf(run), run.unresolvedMembers());
  }

  /** Counts a member as over; must be called once, when it is resolved. */
  void memberResolved(Member member) {
    ActiveRun run = member.run();
    placed.remove(customerOf(run), demandOf(run), 1);
    if (run.isOrdered()) {
      ordered.remove(customerOf(run), demandOf(run), 1);
    }
  }

  /**
   * Returns whether a start order for a member of a run may be sent under the present limit. The
   * first order counts the whole run.
   */
  boolean admitStart(ActiveRun run) {
    CustomerTerms terms = customers.termsOf(customerOf(run));
    Resources used = ordered.of(customerOf(run));
    if (run.isOrdered()) {
      return !terms.isLimited() || terms.allows(used, Resources.NONE, 1);
    }
    if (terms.isLimited() && !terms.allows(used, demandOf(run), run.unresolvedMembers())) {
      return false;
    }
    runOrdered(run);
    return true;
  }

  private static String customerOf(ActiveRun run) {
    return run.unit().job().submission().customer();
  }

  private static Resources demandOf(ActiveRun run) {
    return run.unit().step().demand();
  }
}
