package io.dragonflyturn.internal.fleet;

/**
 * An order to start a run of a task.
 *
 * @param task the full name of the task
 * @param runNumber the run number of the task
 * @param specification the caller's specification, which is passed to the task
 * @param checkpoint the checkpoint to resume from; empty to start from the beginning
 * @param leaseUntilMillis when the lease expires, in milliseconds of the worker's monotonic clock
 * @param fence the fencing token of the term and of the life of the worker that the order is made
 *     for
 */
public record StartOrder(
    String task,
    int runNumber,
    String specification,
    String checkpoint,
    long leaseUntilMillis,
    long fence) {}
