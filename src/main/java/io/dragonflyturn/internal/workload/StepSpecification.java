package io.dragonflyturn.internal.workload;

import java.util.List;

/**
 * One step of a job: tasks that ask for the same.
 *
 * @param replicas the number of tasks
 * @param demand what each task occupies
 * @param estimateMillis the caller's rough estimate of a task's run time, in milliseconds
 * @param dependencies indexes of earlier steps that must be complete first
 * @param checkpointed whether tasks store checkpoints that a later run resumes from
 * @param gang whether the tasks run only all together
 * @param singleRack whether the tasks slow down when they run on more than one rack
 * @param requiredLabel a label that the worker must have; empty for any worker
 * @param dataRack the rack that holds the step's data; empty where it does not matter
 * @param maximumPerWorker the most tasks of the step on one worker; 0 for no limit
 * @param copiesMayRace whether copies of a task may run at the same time
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
  /** Keeps its own copy of the dependencies. */
  public StepSpecification {
    dependencies = List.copyOf(dependencies);
  }
}
