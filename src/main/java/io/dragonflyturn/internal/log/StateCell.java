package io.dragonflyturn.internal.log;

import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;

/** The control state of this replica under its lock. */
final class StateCell {
  private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
  private final Condition applied = lock.writeLock().newCondition();
  private ControlState state;
  private volatile long offset;

  StateCell(ControlState state) {
    this.state = state;
    this.offset = state.offset();
  }

  <T> T read(Function<ControlState, T> question) {
    lock.readLock().lock();
    try {
      return question.apply(state);
    } finally {
      lock.readLock().unlock();
    }
  }

  /** Applies the envelopes of a batch, and returns what was decided about each. */
  List<ProposalOutcome> apply(long batchOffset, List<Envelope> envelopes) {
    lock.writeLock().lock();
    try {
      List<ProposalOutcome> outcomes = new ArrayList<>(envelopes.size());
      for (Envelope envelope : envelopes) {
        outcomes.add(state.apply(batchOffset, envelope));
      }
      state.advanceTo(batchOffset);
      offset = batchOffset;
      applied.signalAll();
      return outcomes;
    } finally {
      lock.writeLock().unlock();
    }
  }

  /** Replaces the state. */
  void restore(ControlState restored) {
    lock.writeLock().lock();
    try {
      state = restored;
      offset = restored.offset();
      applied.signalAll();
    } finally {
      lock.writeLock().unlock();
    }
  }

  /** Returns the offset of the last batch that was applied, without waiting for the lock. */
  long offset() {
    return offset;
  }

  /** Waits until a batch at or after an offset was applied; false where the time is over. */
  boolean awaitOffset(long awaited, long nanoseconds) throws InterruptedException {
    if (offset >= awaited) {
      return true;
    }
    lock.writeLock().lockInterruptibly();
    try {
      long left = nanoseconds;
      while (offset < awaited && left > 0) {
        left = applied.awaitNanos(left);
      }
      return offset >= awaited;
    } finally {
      lock.writeLock().unlock();
    }
  }
}
