package io.dragonflyturn.internal.workload;

import java.util.List;

/**
 * A job as it was accepted.
 *
 * @param id the identifier that the caller chose
 * @param customer the customer whose key the caller showed; empty on an anonymous queue
 * @param queue the queue's policy
 * @param acceptedMillis when an entry took the job, in milliseconds since 1970
 * @param specification what the workers are given with each task
 * @param steps the steps in their order
 * @param recurrence when the steps are due
 */
public record SubmittedJob(
    String id,
    String customer,
    QueuePolicy queue,
    long acceptedMillis,
    String specification,
    List<StepSpecification> steps,
    Recurrence recurrence) {
  /** Keeps its own copy of the steps. */
  public SubmittedJob {
    steps = List.copyOf(steps);
  }
}
