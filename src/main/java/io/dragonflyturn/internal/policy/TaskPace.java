package io.dragonflyturn.internal.policy;

/**
 * How long a task takes from its start to its end on the worker that runs it.
 *
 * @param task the name of the task and of its run
 * @param worker the identifier of the worker
 * @param incarnation the incarnation of the worker
 * @param queue the name of the queue that the job was submitted to
 * @param stepKey the key of the step; its tasks do similar work
 * @param durationMillis the run time, measured or extrapolated from progress, in milliseconds
 */
public record TaskPace(
    String task,
    String worker,
    long incarnation,
    String queue,
    String stepKey,
    double durationMillis) {}
