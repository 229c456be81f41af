package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.workload.Resources;
import java.util.Map;

/**
 * What the leader knows about a customer, for the metrics.
 *
 * @param customer the name of the customer
 * @param used the resources of its runs
 * @param limit its limit over all workers; a component of 0 is unlimited
 * @param share its dominant share of the fleet
 * @param jobsWaiting the number of its jobs that wait, by cause
 */
public record CustomerReport(
    String customer,
    Resources used,
    Resources limit,
    double share,
    Map<WaitCause, Integer> jobsWaiting) {}
