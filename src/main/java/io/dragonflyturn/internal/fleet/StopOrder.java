package io.dragonflyturn.internal.fleet;

/**
 * An order to stop a run of a task.
 *
 * @param task the full name of the task
 * @param runNumber the run number of the task
 * @param fence the fencing token of the term and of the life of the worker that the order is made
 *     for
 */
public record StopOrder(String task, int runNumber, long fence) {}
