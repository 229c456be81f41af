package io.dragonflyturn.internal.workload;

import java.util.List;

/**
 * The stored state of a work unit. A work unit is a single task, or a gang whose tasks run
 * together.
 *
 * @param runNumber the number of the latest run; 0 before the first run
 * @param phase the phase of the unit
 * @param failures the number of failed runs
 * @param checkpoint the latest stored checkpoint; empty if there is none
 * @param members the placement of each member of the latest run
 */
public record RunRecord(
    int runNumber, Phase phase, int failures, String checkpoint, List<Placement> members) {
  /** Copies the members. */
  public RunRecord {
    members = List.copyOf(members);
  }

  /**
   * The phase of a unit. It is stored by ordinal, so the order of the constants must not change.
   */
  public enum Phase {
    /** No run of the unit exists. */
    IDLE,
    /** The latest run may exist on the workers that it was placed on. */
    PLACED,
    /** The unit is complete. */
    DONE,
    /**
     * The latest run has failed, which {@code failures} includes, but members of it may still exist
     * on their workers. Builds that do not know this phase suspend the job.
     */
    FAILING
  }

  /** Returns whether the latest run may exist on the workers that it was placed on. */
  public boolean mayBeActive() {
    return phase == Phase.PLACED || phase == Phase.FAILING;
  }

  /**
   * The worker that a member of a run was placed on.
   *
   * @param worker the worker's identifier
   * @param incarnation the start time of the worker process, in milliseconds since the epoch;
   *     identifies the worker's incarnation
   */
  public record Placement(String worker, long incarnation) {}
}
