package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.Resources;

/** What a stop of a run throws away. */
final class StopLoss {
  /** An accelerator counts as so many processor cores. */
  private static final long CORES_PER_ACCELERATOR = 8;

  private static final long MILLIS_PER_CORE = 1_000;

  /** What a run with checkpoints loses: a stop stores one, and the next run resumes from it. */
  private static final long RESUME_MILLIS = 600;

  /** What placing a unit again costs beside its lost work, as time of all its tasks. */
  private static final long RESTART_MILLIS = 1_000;

  private StopLoss() {}

  /** Returns the work of the member's whole unit that a stop throws away, in core milliseconds. */
  static long of(Member member, long nowMillis) {
    WorkUnit unit = member.unit();
    Resources demand = unit.step().demand();
    long cores =
        demand.processorMillis() / MILLIS_PER_CORE + demand.accelerators() * CORES_PER_ACCELERATOR;
    long lost = member.ranMillis(nowMillis);
    if (unit.step().checkpointed()) {
      lost = Math.min(lost, RESUME_MILLIS);
    }
    return (lost + RESTART_MILLIS) * Math.max(1, cores) * unit.tasks();
  }
}
