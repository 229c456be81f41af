package io.dragonflyturn.internal.fleet;

/**
 * An ended run of a task, as reported by its worker.
 *
 * @param endNumber the sequence number of this end within the worker's incarnation, starting at 1
 * @param task the full name of the task
 * @param runNumber the run number of the task
 * @param kind how the run ended
 * @param checkpoint the latest checkpoint; empty if there is none
 */
public record EndedTask(
    long endNumber, String task, int runNumber, EndKind kind, String checkpoint) {}
