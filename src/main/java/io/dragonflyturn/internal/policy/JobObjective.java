package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
import java.util.ArrayList;
import java.util.List;

/**
 * Until when the completion of a job is worth something to its caller, and what it takes.
 *
 * @param onTimeMillis how long from now a completion is still on time; negative if it is late
 * @param usefulMillis how long from now a completion still serves the caller, though late
 * @param chainMillis the expected run time of the longest chain of dependent steps that is left
 * @param coreMillis the expected work of all tasks in core-milliseconds, with each accelerator
 *     counted as {@value CORES_PER_ACCELERATOR} cores
 */
public record JobObjective(
    long onTimeMillis, long usefulMillis, long chainMillis, long coreMillis) {
  /** The number of processor cores that an accelerator is valued at. */
  static final long CORES_PER_ACCELERATOR = 8;

  private static final long PROCESSOR_MILLIS_PER_CORE = 1_000;

  /** A completion is useful, though late, for this many times its objective. */
  private static final long USEFUL_OBJECTIVES = 3;

  /** A step that needs more than this share of the room is expected to run in several waves. */
  private static final double WAVE_SHARE = 0.25;

  /**
   * The share of the expected run time that a job takes at least. Expectations may be far too high,
   * and a job that is taken for late too early loses its turn.
   */
  private static final double CERTAIN_SHARE = 0.5;

  /**
   * Returns the objective of a job.
   *
   * @param ageMillis how long ago the job was submitted, or its occurrence was due
   * @param runTimes how long its tasks are expected to run
   * @param room where they run; wide steps take several waves
   * @param remainders what is left of each step
   */
  public static JobObjective of(
      SubmittedJob job,
      long ageMillis,
      RunTimes runTimes,
      FleetRoom room,
      List<StepRemainder> remainders) {
    Chains chains = new Chains(job, runTimes, room);
    long fullMillis = chains.longestMillis(StepRemainder.untouched(job.steps()));
    long objectiveMillis =
        (long) (job.queue().stretch() * fullMillis) + job.queue().objectiveMillis();
    return new JobObjective(
        objectiveMillis - ageMillis,
        USEFUL_OBJECTIVES * objectiveMillis - ageMillis,
        chains.longestMillis(remainders),
        coreMillis(job, runTimes));
  }

  /**
   * Returns how long the job may still wait, if it then runs as long as expected, to be on time.
   */
  public long slackMillis() {
    return onTimeMillis - chainMillis;
  }

  /**
   * Returns what a completion is worth to the caller: 2 if it is on time, 1 if it is late but
   * useful, 0 otherwise.
   *
   * @param millis how long from now the job completes
   */
  int worthAfter(long millis) {
    if (millis <= onTimeMillis) {
      return 2;
    }
    return millis <= usefulMillis ? 1 : 0;
  }

  /** Returns how long the job still takes at least, with allowance for wrong expectations. */
  long certainMillis() {
    return (long) (chainMillis * CERTAIN_SHARE);
  }

  /** Returns whether the job has waited for longer than it still can. */
  boolean isAged() {
    long objectiveMillis = (usefulMillis - onTimeMillis) / (USEFUL_OBJECTIVES - 1);
    long ageMillis = objectiveMillis - onTimeMillis;
    return ageMillis >= slackMillis();
  }

  /**
   * Returns what waiting costs the caller if the job were served now. A job counts as hopeless only
   * when even its completion now would not be useful, because expected run times may be wrong.
   */
  public ServiceTier tier() {
    if (onTimeMillis >= certainMillis()) {
      return ServiceTier.TIMELY;
    }
    return usefulMillis >= 0 ? ServiceTier.LATE : ServiceTier.HOPELESS;
  }

  private static long coreMillis(SubmittedJob job, RunTimes runTimes) {
    long sum = 0;
    for (StepSpecification step : job.steps()) {
      long expectedMillis = runTimes.expectedMillis(job.queue().name(), step);
      sum += cores(step.demand()) * step.replicas() * expectedMillis;
    }
    return sum;
  }

  /** Returns the cores that a demand is valued at, at least one. */
  static long cores(Resources demand) {
    return Math.max(
        1,
        demand.processorMillis() / PROCESSOR_MILLIS_PER_CORE
            + demand.accelerators() * CORES_PER_ACCELERATOR);
  }

  /** Computes how long chains of dependent steps take. */
  private record Chains(SubmittedJob job, RunTimes runTimes, FleetRoom room) {
    long longestMillis(List<StepRemainder> remainders) {
      List<Long> endMillis = new ArrayList<>();
      long longest = 0;
      for (int index = 0; index < job.steps().size(); index++) {
        StepSpecification step = job.steps().get(index);
        long startMillis = 0;
        for (int dependency : step.dependencies()) {
          startMillis = Math.max(startMillis, endMillis.get(dependency));
        }
        endMillis.add(startMillis + stepMillis(step, remainders.get(index)));
        longest = Math.max(longest, endMillis.getLast());
      }
      return longest;
    }

    private long stepMillis(StepSpecification step, StepRemainder remainder) {
      if (remainder.waitingTasks() == 0) {
        return remainder.runningMillis();
      }
      long expectedMillis = runTimes.expectedMillis(job.queue().name(), step);
      return Math.max(
          remainder.runningMillis(), expectedMillis * waves(step, remainder.waitingTasks()));
    }

    private long waves(StepSpecification step, int tasks) {
      if (step.gang()) {
        return 1;
      }
      double share = tasks * room.share(job.queue().service(), step);
      return Math.clamp((long) Math.ceil(share / WAVE_SHARE), 1, tasks);
    }
  }
}
