package io.dragonflyturn.model;

import java.util.Map;

/**
 * The specification of a job, as submitted by its customer.
 *
 * @param id the unique id, chosen by the caller or the entry; submitting the same id again joins
 *     the existing job
 * @param customer the customer that the job belongs to
 * @param shape the accelerators that the gang needs at the same time
 * @param urgency the urgency class of the job
 * @param stoppable whether the job may be stopped to reclaim its accelerators
 * @param checkpointable whether the job can continue from a checkpoint
 * @param declaredSeconds the run time that the customer declares, in seconds; an untrusted hint
 * @param labels the labels that selectors of placement rules match
 */
public record JobSpecification(
    String id,
    String customer,
    Shape shape,
    Urgency urgency,
    boolean stoppable,
    boolean checkpointable,
    long declaredSeconds,
    Map<String, String> labels) {
  /** Copies the labels; null becomes an empty map. */
  public JobSpecification {
    labels = Fields.copy(labels);
  }
}
