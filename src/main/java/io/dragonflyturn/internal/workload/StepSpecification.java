package io.dragonflyturn.internal.workload;

import java.util.List;

/**
 * A step of a job: a number of tasks with the same requirements.
 *
 * @param replicas the number of tasks
 * @param demand the resources that each task requires
 * @param estimateMillis the caller's estimate of the run time of a task, in milliseconds
 * @param dependencies the indexes of earlier steps that must complete before this step starts
 * @param checkpointed whether tasks store checkpoints from which a later run resumes
 * @param gang whether all tasks must run at the same time
 * @param singleRack whether the tasks prefer to run on a single rack, because they are slower
 *     across racks
 * @param requiredLabel the label that a worker must have; empty to allow any worker
 * @param dataRack the rack that holds the data of the step; empty for no preference
 * @param maximumPerWorker the maximum number of tasks of the step on one worker; 0 for no limit
 * @param copiesMayRace whether several copies of a task may run at the same time (speculative
 *     execution)
 * @param endless whether the tasks run until the job is cancelled
 */
public record StepSpecification(
    int replicas,
    Resources demand,
    long estimateMillis,
    List<Integer> dependencies,
    boolean checkpointed,
    boolean gang,
    boolean singleRack,
    String requiredLabel,
    String dataRack,
    int maximumPerWorker,
    boolean copiesMayRace,
    boolean endless) {
  /** Copies the dependencies. */
  public StepSpecification {
    dependencies = List.copyOf(dependencies);
  }
}
