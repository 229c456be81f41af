package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;

/**
 * What is left of a step.
 *
 * @param waitingTasks the tasks that have neither ended nor run
 * @param runningMillis how long the tasks that run still take, in milliseconds
 */
public record StepRemainder(int waitingTasks, long runningMillis) {
  /** Returns the remainders of steps of which no task has been placed. */
  static List<StepRemainder> untouched(List<StepSpecification> steps) {
    return steps.stream().map(step -> new StepRemainder(step.replicas(), 0)).toList();
  }
}
