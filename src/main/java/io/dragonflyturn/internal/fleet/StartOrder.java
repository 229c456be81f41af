package io.dragonflyturn.internal.fleet;

/**
 * An order to start a task.
 *
 * @param task the task's full name
 * @param run the number of the run
 * @param specification what the caller gave for the task
 * @param checkpoint the checkpoint to resume from; empty for a start from the beginning
 * @param leaseUntilMillis when the lease ends, on the worker's steady clock in milliseconds
 * @param fence the fencing token
 */
public record StartOrder(
    String task,
    int run,
    String specification,
    String checkpoint,
    long leaseUntilMillis,
    long fence) {}
