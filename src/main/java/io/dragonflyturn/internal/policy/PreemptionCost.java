package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;

/** Computes the work that is lost when a run is preempted. */
public final class PreemptionCost {
  /**
   * The time lost by a run with checkpoints: a stop stores a checkpoint, from which the next run
   * resumes.
   */
  private static final long RESUME_COST_MILLIS = 600;

  /** The time that each task of a unit needs to be placed again, in addition to the lost work. */
  private static final long RESTART_COST_MILLIS = 1_000;

  private PreemptionCost() {}

  /**
   * Returns the work that a whole unit loses if it is preempted, in core-milliseconds.
   *
   * @param step the step of the unit
   * @param tasks the number of tasks of the unit
   * @param runTimeMillis how long the unit has run
   */
  public static long of(StepSpecification step, int tasks, long runTimeMillis) {
    return thrownAway(step, tasks, runTimeMillis)
        + RESTART_COST_MILLIS * JobObjective.cores(step.demand()) * tasks;
  }

  /**
   * Returns the work of a unit that has to be done again after a stop, in core-milliseconds. A stop
   * stores a checkpoint, so a step with checkpoints loses only the time to resume.
   */
  public static long thrownAway(StepSpecification step, int tasks, long runTimeMillis) {
    long lostMillis =
        step.checkpointed() ? Math.min(runTimeMillis, RESUME_COST_MILLIS) : runTimeMillis;
    return lostMillis * JobObjective.cores(step.demand()) * tasks;
  }
}
