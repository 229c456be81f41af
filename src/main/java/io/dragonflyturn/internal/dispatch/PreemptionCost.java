package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.Resources;

/** What a stop of a run throws away. */
final class PreemptionCost {
  /** An accelerator counts as so many processor cores. */
  private static final long CORES_PER_ACCELERATOR = 8;

  private static final long PROCESSOR_MILLIS_PER_CORE = 1_000;

  /** What a run with checkpoints loses: a stop stores one, and the next run resumes from it. */
  private static final long RESUME_COST_MILLIS = 600;

  /** What placing a unit again costs beside its lostMillis work, as time of all its tasks. */
  private static final long RESTART_COST_MILLIS = 1_000;

  private PreemptionCost() {}

  /** Returns the work of the member's whole unit that a stop throws away, in core milliseconds. */
  static long of(Member member, long nowMillis) {
    WorkUnit unit = member.unit();
    Resources demand = unit.step().demand();
    long cores =
        demand.processorMillis() / PROCESSOR_MILLIS_PER_CORE + demand.accelerators() * CORES_PER_ACCELERATOR;
    long lostMillis = member.runTimeMillis(nowMillis);
    if (unit.step().checkpointed()) {
      lostMillis = Math.min(lostMillis, RESUME_COST_MILLIS);
    }
    return (lostMillis + RESTART_COST_MILLIS) * Math.max(1, cores) * unit.tasks();
  }
}
