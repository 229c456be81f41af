package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
import java.util.List;

/**
 * A job, or one occurrence of it, with tasks that wait to be placed.
 *
 * @param key the identifier of the job with the number of the occurrence
 * @param service the service whose workers may run it
 * @param rank the rank of the job as defined by {@link UrgencyRanks}
 * @param begun whether any of its tasks has been placed
 * @param endless whether any of its tasks runs without an end, so that it is never late
 * @param objective until when its completion is worth something
 * @param roomMillis how long its waiting tasks occupy the whole room of the service, in
 *     milliseconds
 */
public record WaitingJob(
    String key,
    String service,
    int rank,
    boolean begun,
    boolean endless,
    JobObjective objective,
    double roomMillis) {
  /**
   * Returns how long the tasks that have not been placed will occupy the whole room of a service,
   * in milliseconds.
   */
  public static double roomMillisOf(
      SubmittedJob job, List<StepRemainder> remainders, RunTimes runTimes, FleetRoom room) {
    double sum = 0;
    for (int index = 0; index < job.steps().size(); index++) {
      StepSpecification step = job.steps().get(index);
      if (!step.endless()) {
        sum +=
            remainders.get(index).waitingTasks()
                * room.share(job.queue().service(), step)
                * runTimes.expectedMillis(job.queue().name(), step);
      }
    }
    return sum;
  }

  /** Returns whether the job gives up its turn to a smaller one that would otherwise be late. */
  boolean mayYield() {
    return !begun && !endless && !objective.isAged();
  }
}
