package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.CustomerShare;
import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.workload.Resources;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reports usage, limit, share, and waiting jobs of the largest customers to the metrics. */
final class CustomerMonitor {
  private static final int MAXIMUM_CUSTOMERS = 50;
  private static final long INTERVAL_MILLIS = 1_000;

  private final DispatchContext context;
  private final WorkerFleet fleet;
  private final CustomerQuota quota;
  private long nextMillis;

  CustomerMonitor(DispatchContext context, WorkerFleet fleet, CustomerQuota quota) {
    this.context = context;
    this.fleet = fleet;
    this.quota = quota;
  }

  /** Withdraws the report of a leader whose term has ended. */
  void close() {
    context.metrics().customers().set(List.of());
  }

  /**
   * Reports the state after a planning round, at most once in an interval.
   *
   * @param units the units that waited before the round, by unit key
   * @param causes why units still wait, by unit key
   */
  void observe(Map<String, WorkUnit> units, Map<String, WaitCause> causes) {
    if (context.nowMillis() < nextMillis) {
      return;
    }
    nextMillis = context.nowMillis() + INTERVAL_MILLIS;
    Map<String, Map<WaitCause, Integer>> waiting = jobsWaiting(units, causes);
    Set<String> customers = new HashSet<>(quota.placed().customers());
    customers.addAll(waiting.keySet());
    Resources capacity = capacity();
    context
        .metrics()
        .customers()
        .set(
            customers.stream()
                .map(each -> report(each, capacity, waiting.getOrDefault(each, Map.of())))
                .sorted(
                    Comparator.comparingDouble(CustomerReport::share)
                        .reversed()
                        .thenComparing(CustomerReport::customer))
                .limit(MAXIMUM_CUSTOMERS)
                .toList());
  }

  private CustomerReport report(
      String customer, Resources capacity, Map<WaitCause, Integer> waiting) {
    Resources used = quota.placed().of(customer);
    return new CustomerReport(
        customer,
        used,
        context.customers().termsOf(customer).limit(),
        CustomerShare.dominant(used, capacity),
        waiting);
  }

  private Resources capacity() {
    Resources sum = Resources.NONE;
    for (WorkerSession session : fleet.sessions().values()) {
      sum = session.isRegistered() ? sum.plus(session.registration().capacity()) : sum;
    }
    return sum;
  }

  /** Counts the jobs of each customer by cause; a job whose units differ counts for each cause. */
  private static Map<String, Map<WaitCause, Integer>> jobsWaiting(
      Map<String, WorkUnit> units, Map<String, WaitCause> causes) {
    Map<WaitCause, Set<String>> countedJobs = new EnumMap<>(WaitCause.class);
    Map<String, Map<WaitCause, Integer>> waiting = new HashMap<>();
    causes.forEach(
        (unitKey, cause) -> {
          WorkUnit unit = units.get(unitKey);
          Set<String> counted = countedJobs.computeIfAbsent(cause, unused -> new HashSet<>());
          if (unit != null && counted.add(unit.job().id())) {
            waiting
                .computeIfAbsent(
                    unit.job().submission().customer(), unused -> new EnumMap<>(WaitCause.class))
                .merge(cause, 1, Integer::sum);
          }
        });
    return waiting;
  }
}
