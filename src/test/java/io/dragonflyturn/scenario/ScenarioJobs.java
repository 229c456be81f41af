package io.dragonflyturn.scenario;

import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.util.Map;

/** Creates the job specifications of scenarios: gangs whose members each fill a worker. */
final class ScenarioJobs {
  private static final int ACCELERATORS_PER_WORKER = 8;

  private ScenarioJobs() {}

  /** Returns a gang job that is both stoppable and checkpointable, or neither. */
  static JobSpecification gang(
      String customer, String id, int members, double seconds, Urgency urgency, boolean stoppable) {
    return new JobSpecification(
        id,
        customer,
        new Shape(members, ACCELERATORS_PER_WORKER, Span.REGION),
        urgency,
        stoppable,
        stoppable,
        1,
        Map.of("work-seconds", Double.toString(seconds)));
  }
}
