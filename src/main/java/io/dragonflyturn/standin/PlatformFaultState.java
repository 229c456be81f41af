package io.dragonflyturn.standin;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Currently injected faults of the platform stand-in; decides the outcome of each log call. */
final class PlatformFaultState {
  private static final long MAXIMUM_HANG_MILLIS = 120_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private boolean stopped;
  private boolean hanging;
  private long delayMillis;
  private int appendsToLose;
  private int answersToLose;

  /** Outcome of a call to the log. */
  enum CallOutcome {
    /** The call is served normally. */
    SERVED,
    /** The call fails with an error and has no effect. */
    REFUSED,
    /** The call gets no response and has no effect. */
    DROPPED,
    /** The call takes effect, but its response is lost. */
    ANSWER_LOST
  }

  /** Updates the faults; fields that are null leave the current value unchanged. */
  void change(PlatformFaults faults) {
    lock.lock();
    try {
      stopped = faults.stopped() == null ? stopped : faults.stopped();
      hanging = faults.hanging() == null ? hanging : faults.hanging();
      delayMillis = faults.delayMillis() == null ? delayMillis : faults.delayMillis();
      appendsToLose = faults.loseAppends() == null ? appendsToLose : faults.loseAppends();
      answersToLose = faults.loseAnswers() == null ? answersToLose : faults.loseAnswers();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the outcome of a read after waiting for the injected delay or hang. */
  CallOutcome decideRead() throws InterruptedException {
    return decide(false);
  }

  /** Returns the outcome of an append after waiting for the injected delay or hang. */
  CallOutcome decideAppend() throws InterruptedException {
    return decide(true);
  }

  private CallOutcome decide(boolean append) throws InterruptedException {
    lock.lock();
    try {
      boolean hung = awaitWhileHanging();
      if (hung) {
        return CallOutcome.DROPPED;
      }
      if (delayMillis > 0) {
        awaitDelay();
      }
      if (stopped) {
        return CallOutcome.REFUSED;
      }
      return append ? decideLoss() : CallOutcome.SERVED;
    } finally {
      lock.unlock();
    }
  }

  private CallOutcome decideLoss() {
    if (appendsToLose > 0) {
      appendsToLose--;
      return CallOutcome.DROPPED;
    }
    if (answersToLose > 0) {
      answersToLose--;
      return CallOutcome.ANSWER_LOST;
    }
    return CallOutcome.SERVED;
  }

  private boolean awaitWhileHanging() throws InterruptedException {
    boolean hung = false;
    long nanos = TimeUnit.MILLISECONDS.toNanos(MAXIMUM_HANG_MILLIS);
    while (hanging && nanos > 0) {
      hung = true;
      nanos = changed.awaitNanos(nanos);
    }
    return hung;
  }

  private void awaitDelay() throws InterruptedException {
    long nanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
    while (nanos > 0 && delayMillis > 0) {
      nanos = changed.awaitNanos(nanos);
    }
  }
}
