package io.dragonflyturn.measure.policy;

import io.dragonflyturn.model.JobSpecification;

/**
 * A job of a scenario, with properties that are hidden from the policies.
 *
 * @param specification the specification that the customer submits
 * @param submittedMillis when the job is submitted, in milliseconds from the start
 * @param actualRunSeconds how long the job runs, in seconds
 * @param alwaysFails whether the job fails on every worker
 * @param feasible whether the job fits an idle fleet
 * @param cancelledMillis when the job is cancelled, in milliseconds from the start; -1 for never
 */
record ScenarioJob(
    JobSpecification specification,
    long submittedMillis,
    double actualRunSeconds,
    boolean alwaysFails,
    boolean feasible,
    long cancelledMillis) {
  /** Returns whether the job can complete. */
  boolean canComplete() {
    return feasible && !alwaysFails && cancelledMillis < 0;
  }
}
