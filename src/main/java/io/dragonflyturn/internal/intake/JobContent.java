package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.workload.Recurrence;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;

/**
 * What a caller submits.
 *
 * @param specification what the workers are given with each task
 * @param steps the steps in their order
 * @param recurrence when the steps are due
 */
public record JobContent(
    String specification, List<StepSpecification> steps, Recurrence recurrence) {}
