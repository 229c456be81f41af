package io.dragonflyturn.internal.fleet;

/**
 * An order to stop a task.
 *
 * @param task the task's full name
 * @param run the number of the run
 * @param fence the fencing token
 */
public record StopOrder(String task, int run, long fence) {}
