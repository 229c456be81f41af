package io.dragonflyturn.internal.fleet;

/**
 * A run that a worker lists.
 *
 * @param task the task's full name
 * @param run the number of the run
 * @param checkpoint the newest checkpoint; empty for none
 * @param percent how much of the work is complete, 0 to 100
 */
public record RunningTask(String task, int run, String checkpoint, int percent) {}
