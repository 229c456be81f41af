package io.dragonflyturn.internal.workload;

import java.util.List;

/**
 * A job as accepted from a caller. It does not change after submission.
 *
 * @param id the identifier that the caller chose
 * @param customer the customer whose key authenticated the caller; empty on an anonymous queue
 * @param queue the policy of the queue that the job was submitted to
 * @param acceptedMillis when the job was accepted, in milliseconds since the epoch
 * @param specification the specification that workers receive with each task
 * @param steps the steps of the job, in order
 * @param recurrence how often and when the steps run
 */
public record SubmittedJob(
    String id,
    String customer,
    QueuePolicy queue,
    long acceptedMillis,
    String specification,
    List<StepSpecification> steps,
    Recurrence recurrence) {
  /** Copies the steps. */
  public SubmittedJob {
    steps = List.copyOf(steps);
  }
}
