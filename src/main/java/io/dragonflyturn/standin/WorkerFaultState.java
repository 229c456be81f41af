package io.dragonflyturn.standin;

import org.jspecify.annotations.Nullable;

/** Currently injected faults of a worker stand-in. */
final class WorkerFaultState {
  private boolean failTasks;
  private long delayMillis;
  private int controlAnswersToLose;
  private int requestAnswersToLose;
  private int answersToCross;
  private boolean leaving;
  private long serviceMillis;

  WorkerFaultState(long serviceMillis) {
    this.serviceMillis = serviceMillis;
  }

  /** Updates the faults; fields that are null leave the current value unchanged. */
  synchronized void change(WorkerFaults faults) {
    failTasks = valueOrCurrent(faults.failTasks(), failTasks);
    delayMillis = valueOrCurrent(faults.delayMillis(), delayMillis);
    controlAnswersToLose = valueOrCurrent(faults.loseControlAnswers(), controlAnswersToLose);
    requestAnswersToLose = valueOrCurrent(faults.loseRequestAnswers(), requestAnswersToLose);
    answersToCross = valueOrCurrent(faults.crossAnswers(), answersToCross);
    leaving = valueOrCurrent(faults.leaving(), leaving);
    serviceMillis = valueOrCurrent(faults.serviceMillis(), serviceMillis);
  }

  synchronized boolean failTasks() {
    return failTasks;
  }

  synchronized long delayMillis() {
    return delayMillis;
  }

  synchronized boolean leaving() {
    return leaving;
  }

  synchronized long serviceMillis() {
    return serviceMillis;
  }

  /** Returns whether to drop this control response, and counts it if so. */
  synchronized boolean consumeLostControlAnswer() {
    boolean lost = controlAnswersToLose > 0;
    controlAnswersToLose -= lost ? 1 : 0;
    return lost;
  }

  /** Returns whether to drop this request response, and counts it if so. */
  synchronized boolean consumeLostRequestAnswer() {
    boolean lost = requestAnswersToLose > 0;
    requestAnswersToLose -= lost ? 1 : 0;
    return lost;
  }

  /** Returns whether to send an earlier response instead of this one, and counts it if so. */
  synchronized boolean consumeCrossedAnswer() {
    boolean crossed = answersToCross > 0;
    answersToCross -= crossed ? 1 : 0;
    return crossed;
  }

  private static <T> T valueOrCurrent(@Nullable T changed, T current) {
    return changed == null ? current : changed;
  }
}
