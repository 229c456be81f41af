package io.dragonflyturn.internal.workload;

import java.util.List;

/**
 * What is stored of a unit of work: a single task, or a gang that runs as one.
 *
 * @param run the number of the latest run; 0 before the first
 * @param phase how far the unit is
 * @param failures how many runs have failed
 * @param checkpoint the newest stored checkpoint; empty for none
 * @param members where the members of the latest run were placed
 */
public record RunRecord(
    int run, Phase phase, int failures, String checkpoint, List<Placement> members) {
  /** Keeps its own copy of the members. */
  public RunRecord {
    members = List.copyOf(members);
  }

  /** How far a unit is; the numbers are stored. */
  public enum Phase {
    /** No run may exist. */
    IDLE,
    /** The latest run may exist at its places. */
    PLACED,
    /** The unit is complete. */
    DONE
  }

  /**
   * Where a member was placed.
   *
   * @param worker the worker's identifier
   * @param incarnation the start of the worker's life, in milliseconds since 1970
   */
  public record Placement(String worker, long incarnation) {}
}
