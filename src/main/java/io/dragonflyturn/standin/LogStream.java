package io.dragonflyturn.standin;

import io.dragonflyturn.internal.log.LogSlice;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** In-memory log stream with consecutive offsets and retention limits on count and age. */
final class LogStream {
  private static final int MAXIMUM_SLICE_BYTES = 1 << 20;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition appended = lock.newCondition();
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final int maximumBatches;
  private final long maximumAgeMillis;
  private long end;

  /**
   * Creates an empty stream.
   *
   * @param maximumBatches the maximum number of retained batches
   * @param maximumAgeMillis the maximum age of a retained batch, in milliseconds
   */
  LogStream(int maximumBatches, long maximumAgeMillis) {
    this.maximumBatches = maximumBatches;
    this.maximumAgeMillis = maximumAgeMillis;
  }

  /** Appends a batch and returns its offset. */
  long append(byte[] content, long nowMillis) {
    lock.lock();
    try {
      long offset = end++;
      entries.addLast(new Entry(new LogSlice.Batch(offset, content), nowMillis));
      retain(nowMillis);
      appended.signalAll();
      return offset;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the batches from an offset on, up to about one mebibyte. Waits for the first batch if
   * none is available yet.
   *
   * @param waitMillis the maximum wait, in milliseconds
   */
  LogSlice read(long fromOffset, long waitMillis, long nowMillis) throws InterruptedException {
    lock.lock();
    try {
      retain(nowMillis);
      long nanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
      while (fromOffset >= end && nanos > 0) {
        nanos = appended.awaitNanos(nanos);
      }
      return slice(fromOffset);
    } finally {
      lock.unlock();
    }
  }

  /** Removes the batches with offsets below the given one. */
  void expireBelow(long offset) {
    lock.lock();
    try {
      while (!entries.isEmpty() && entries.getFirst().batch().offset() < offset) {
        entries.removeFirst();
      }
    } finally {
      lock.unlock();
    }
  }

  private LogSlice slice(long fromOffset) {
    long firstAvailable = entries.isEmpty() ? end : entries.getFirst().batch().offset();
    List<LogSlice.Batch> batches = new ArrayList<>();
    int bytes = 0;
    for (Entry entry : entries) {
      if (entry.batch().offset() < fromOffset) {
        continue;
      }
      bytes += entry.batch().content().length;
      if (!batches.isEmpty() && bytes > MAXIMUM_SLICE_BYTES) {
        break;
      }
      batches.add(entry.batch());
    }
    return new LogSlice(firstAvailable, end, batches);
  }

  private void retain(long nowMillis) {
    while (entries.size() > maximumBatches) {
      entries.removeFirst();
    }
    while (!entries.isEmpty() && nowMillis - entries.getFirst().atMillis() > maximumAgeMillis) {
      entries.removeFirst();
    }
  }

  private record Entry(LogSlice.Batch batch, long atMillis) {}
}
