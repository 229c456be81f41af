package io.dragonflyturn.internal.log;

import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;

/** Guards the control state of this replica with a read-write lock. Thread-safe. */
final class ControlStateHolder {
  private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
  private final Condition offsetAdvanced = lock.writeLock().newCondition();
  private ControlState state;
  private volatile long offset;

  ControlStateHolder(ControlState state) {
    this.state = state;
    this.offset = state.offset();
  }

  <T> T read(Function<ControlState, T> reader) {
    lock.readLock().lock();
    try {
      return reader.apply(state);
    } finally {
      lock.readLock().unlock();
    }
  }

  /** Applies the envelopes of a batch, and returns their outcomes in order. */
  List<ProposalOutcome> apply(long batchOffset, List<Envelope> envelopes) {
    lock.writeLock().lock();
    try {
      List<ProposalOutcome> outcomes = new ArrayList<>(envelopes.size());
      for (Envelope envelope : envelopes) {
        outcomes.add(state.apply(batchOffset, envelope));
      }
      state.advanceTo(batchOffset);
      offset = batchOffset;
      offsetAdvanced.signalAll();
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
      offsetAdvanced.signalAll();
    } finally {
      lock.writeLock().unlock();
    }
  }

  /** Returns the offset of the last applied batch without acquiring the lock. */
  long offset() {
    return offset;
  }

  /**
   * Waits until a batch at or after an offset has been applied.
   *
   * @return false if the timeout expired
   */
  boolean awaitOffset(long awaitedOffset, long timeoutNanoseconds) throws InterruptedException {
    if (offset >= awaitedOffset) {
      return true;
    }
    lock.writeLock().lockInterruptibly();
    try {
      long remainingNanoseconds = timeoutNanoseconds;
      while (offset < awaitedOffset && remainingNanoseconds > 0) {
        remainingNanoseconds = offsetAdvanced.awaitNanos(remainingNanoseconds);
      }
      return offset >= awaitedOffset;
    } finally {
      lock.writeLock().unlock();
    }
  }
}
