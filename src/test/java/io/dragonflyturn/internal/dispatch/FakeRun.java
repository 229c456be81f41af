package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.RunningTask;

/** A run on an in-memory worker. Times are in milliseconds of the worker's clock. */
record FakeRun(
    int number,
    long startMillis,
    long totalMillis,
    long completionMillis,
    long failureMillis,
    boolean finishedEarly) {
  private static final long FAILURE_DELAY_MILLIS = 40;

  static FakeRun begun(
      int number,
      long clockMillis,
      long totalMillis,
      boolean stalls,
      boolean fails,
      boolean finishedEarly) {
    return new FakeRun(
        number,
        clockMillis,
        totalMillis,
        stalls ? Long.MAX_VALUE : clockMillis + totalMillis,
        fails ? clockMillis + FAILURE_DELAY_MILLIS : Long.MAX_VALUE,
        finishedEarly);
  }

  RunningTask listed(String task, String checkpoint, long clockMillis) {
    long remainingMillis = Math.min(completionMillis - clockMillis, totalMillis);
    long percent = Math.max(0, 100 - remainingMillis * 100 / totalMillis);
    return new RunningTask(task, number, checkpoint, finishedEarly ? 100 : (int) percent);
  }
}
