package io.dragonflyturn.internal.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * Holds the open proposals of this replica: those queued to be appended, and those already sent
 * whose outcome has not been read from the log. Thread-safe.
 */
final class ProposalTable {
  /** A proposal with the sequence number under which it was sent. */
  record SentProposal(long sequence, PendingProposal proposal) {}

  private final int capacity;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition stateChanged = lock.newCondition();
  private final ArrayDeque<PendingProposal> queued = new ArrayDeque<>();
  private final NavigableMap<Long, PendingProposal> sent = new TreeMap<>();
  private long nextSequence = 1;
  private long uncertainThrough;
  private boolean closed;

  ProposalTable(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Queues all given proposals or none.
   *
   * @return false if the capacity would be exceeded or the table is closed
   */
  boolean offer(List<PendingProposal> proposals) {
    lock.lock();
    try {
      if (closed || queued.size() + sent.size() + proposals.size() > capacity) {
        return false;
      }
      queued.addAll(proposals);
      stateChanged.signalAll();
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Waits until there is something to append or the timeout expires. */
  void awaitWork(long timeoutNanoseconds) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      long remainingNanoseconds = timeoutNanoseconds;
      while (queued.isEmpty() && uncertainThrough == 0 && remainingNanoseconds > 0) {
        remainingNanoseconds = stateChanged.awaitNanos(remainingNanoseconds);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Allocates the next sequence number, for a record without a proposal. */
  long nextSequence() {
    lock.lock();
    try {
      return nextSequence++;
    } finally {
      lock.unlock();
    }
  }

  /** Moves up to {@code limit} queued proposals to the sent ones and assigns sequence numbers. */
  List<SentProposal> send(int limit) {
    lock.lock();
    try {
      List<SentProposal> batch = new ArrayList<>();
      while (batch.size() < limit && !queued.isEmpty()) {
        PendingProposal proposal = queued.removeFirst();
        sent.put(nextSequence, proposal);
        batch.add(new SentProposal(nextSequence, proposal));
        nextSequence++;
      }
      return batch;
    } finally {
      lock.unlock();
    }
  }

  /** Returns proposals that are known not to be in the log to the front of the queue. */
  void requeue(List<SentProposal> batch) {
    lock.lock();
    try {
      for (SentProposal each : batch.reversed()) {
        if (sent.remove(each.sequence()) != null) {
          queued.addFirst(each.proposal());
        }
      }
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Records that the log may or may not contain sequence numbers up to the given one. */
  void markUncertain(long throughSequence) {
    lock.lock();
    try {
      uncertainThrough = Math.max(uncertainThrough, throughSequence);
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the highest uncertain sequence number without an appended fence; 0 if there is none.
   */
  long uncertainThrough() {
    lock.lock();
    try {
      return uncertainThrough;
    } finally {
      lock.unlock();
    }
  }

  /** Records that a fence for sequence numbers up to the given one was appended to the log. */
  void recordFence(long throughSequence) {
    lock.lock();
    try {
      if (uncertainThrough <= throughSequence) {
        uncertainThrough = 0;
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Removes and returns the sent proposal with a sequence number; {@code null} if there is none.
   */
  @Nullable PendingProposal removeSent(long sequence) {
    lock.lock();
    try {
      PendingProposal proposal = sent.remove(sequence);
      stateChanged.signalAll();
      return proposal;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Requeues the sent proposals with sequence numbers lower than an applied one. They were not in
   * the log before it, so they can no longer be applied under their sequence numbers.
   *
   * @return the number of requeued proposals
   */
  int requeueSuperseded(long appliedSequence) {
    lock.lock();
    try {
      NavigableMap<Long, PendingProposal> superseded = sent.headMap(appliedSequence, false);
      int count = superseded.size();
      if (count > 0) {
        superseded.descendingMap().values().forEach(queued::addFirst);
        superseded.clear();
        stateChanged.signalAll();
      }
      return count;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Removes and returns the sent proposals up to a sequence number that a snapshot covers. Their
   * outcome can no longer be read from the log.
   */
  List<PendingProposal> removeSentThrough(long sequence) {
    lock.lock();
    try {
      NavigableMap<Long, PendingProposal> covered = sent.headMap(sequence, true);
      List<PendingProposal> removed = List.copyOf(covered.values());
      covered.clear();
      stateChanged.signalAll();
      return removed;
    } finally {
      lock.unlock();
    }
  }

  /** Removes and returns the queued proposals whose deadline has passed. */
  List<PendingProposal> removeExpired(long nowNanoseconds) {
    lock.lock();
    try {
      List<PendingProposal> expired = new ArrayList<>();
      Iterator<PendingProposal> iterator = queued.iterator();
      while (iterator.hasNext()) {
        PendingProposal proposal = iterator.next();
        if (proposal.deadlineNanoseconds() - nowNanoseconds <= 0) {
          expired.add(proposal);
          iterator.remove();
        }
      }
      return expired;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Closes the table for new proposals, and waits until all open ones have an outcome or the
   * timeout expires.
   *
   * @return whether no open proposals are left
   */
  boolean closeAndDrain(long timeoutNanoseconds) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      closed = true;
      long remainingNanoseconds = timeoutNanoseconds;
      while (!(queued.isEmpty() && sent.isEmpty()) && remainingNanoseconds > 0) {
        remainingNanoseconds =
            stateChanged.awaitNanos(Math.min(remainingNanoseconds, TimeUnit.SECONDS.toNanos(1)));
      }
      return queued.isEmpty() && sent.isEmpty();
    } finally {
      lock.unlock();
    }
  }

  boolean isClosed() {
    lock.lock();
    try {
      return closed;
    } finally {
      lock.unlock();
    }
  }

  int queuedCount() {
    lock.lock();
    try {
      return queued.size();
    } finally {
      lock.unlock();
    }
  }

  List<PendingProposal> removeQueued() {
    lock.lock();
    try {
      List<PendingProposal> removed = List.copyOf(queued);
      queued.clear();
      return removed;
    } finally {
      lock.unlock();
    }
  }

  List<PendingProposal> removeAllSent() {
    lock.lock();
    try {
      List<PendingProposal> removed = List.copyOf(sent.values());
      sent.clear();
      return removed;
    } finally {
      lock.unlock();
    }
  }
}
