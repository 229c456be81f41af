package io.dragonflyturn.internal.fleet;

/**
 * A run whose end a worker lists.
 *
 * @param number the number of the end in the worker's life, from 1
 * @param task the task's full name
 * @param run the number of the run
 * @param kind how it ended
 * @param checkpoint the newest checkpoint; empty for none
 */
public record EndedTask(long number, String task, int run, EndKind kind, String checkpoint) {}
