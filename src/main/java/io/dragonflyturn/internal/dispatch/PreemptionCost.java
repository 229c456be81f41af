package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.Resources;

/** Computes the work that is lost when a run is preempted. */
final class PreemptionCost {
  /** The number of processor cores that an accelerator is valued at. */
  private static final long CORES_PER_ACCELERATOR = 8;

  private static final long PROCESSOR_MILLIS_PER_CORE = 1_000;

  /**
   * The time lost by a run with checkpoints: a stop stores a checkpoint, from which the next run
   * resumes.
   */
  private static final long RESUME_COST_MILLIS = 600;

  /** The time that each task of a unit needs to be placed again, in addition to the lost work. */
  private static final long RESTART_COST_MILLIS = 1_000;

  private PreemptionCost() {}

  /**
   * Returns the work that the whole unit of a member loses if it is preempted, in
   * core-milliseconds.
   */
  static long of(Member member, long nowMillis) {
    WorkUnit unit = member.unit();
    Resources demand = unit.step().demand();
    long cores =
        demand.processorMillis() / PROCESSOR_MILLIS_PER_CORE
            + demand.accelerators() * CORES_PER_ACCELERATOR;
    long lostMillis = member.runTimeMillis(nowMillis);
    if (unit.step().checkpointed()) {
      lostMillis = Math.min(lostMillis, RESUME_COST_MILLIS);
    }
    return (lostMillis + RESTART_COST_MILLIS) * Math.max(1, cores) * unit.tasks();
  }
}
