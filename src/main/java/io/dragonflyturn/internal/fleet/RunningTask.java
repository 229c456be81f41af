package io.dragonflyturn.internal.fleet;

/**
 * An active run of a task, as reported by its worker.
 *
 * @param task the full name of the task
 * @param runNumber the run number of the task
 * @param checkpoint the latest checkpoint; empty if there is none
 * @param percent the progress of the run in percent, from 0 to 100
 */
public record RunningTask(String task, int runNumber, String checkpoint, int percent) {}
