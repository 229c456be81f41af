package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;

/** How long tasks are expected to run. */
@FunctionalInterface
public interface RunTimes {
  /** The run times that callers declare. */
  RunTimes DECLARED = (queue, step) -> step.estimateMillis();

  /**
   * Returns the expected run time of a task, in milliseconds.
   *
   * @param queue the name of the queue that the job was submitted to
   */
  long expectedMillis(String queue, StepSpecification step);
}
