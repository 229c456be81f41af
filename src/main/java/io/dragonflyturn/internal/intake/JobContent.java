package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.workload.Recurrence;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;

/**
 * The decoded body of a job submission.
 *
 * @param specification the text that is passed to the workers with each task
 * @param steps the steps, in their order
 * @param recurrence how often and when the steps run
 */
public record JobContent(
    String specification, List<StepSpecification> steps, Recurrence recurrence) {}
