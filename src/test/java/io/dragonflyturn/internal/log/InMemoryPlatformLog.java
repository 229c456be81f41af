package io.dragonflyturn.internal.log;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An in-memory log with configurable faults. Thread-safe. */
public final class InMemoryPlatformLog implements PlatformLog {
  /** The fault of one append. */
  public enum AppendFault {
    /** The batch is appended, but the answer is lost. */
    ANSWER_LOST,
    /** The request is lost; the batch is never appended. */
    REQUEST_LOST,
    /** The answer is lost, and the batch is appended when {@link #deliverDelayed} is called. */
    DELAYED,
    /** The batch is appended twice. */
    DUPLICATED
  }

  private static final int MAX_BATCHES_PER_READ = 500;

  private final Map<String, TreeMap<Long, byte[]>> streams = new HashMap<>();
  private final Map<String, Long> ends = new HashMap<>();
  private final ArrayDeque<AppendFault> faults = new ArrayDeque<>();
  private final List<Runnable> delayedAppends = new ArrayList<>();
  private boolean stopped;
  private boolean snapshotFaultsEnabled;
  private Duration appendDelay = Duration.ZERO;
  private long appendCount;
  private int largestBatchBytes;

  /** Applies the given faults to the next appends, one each. */
  public synchronized void failNextAppends(AppendFault... newFaults) {
    faults.addAll(List.of(newFaults));
  }

  /** Removes all faults that have not been applied yet. */
  public synchronized void clearFaults() {
    faults.clear();
  }

  /** Stops or restarts the log. All calls of a stopped log fail. */
  public synchronized void stop(boolean stop) {
    stopped = stop;
    notifyAll();
  }

  /** Sets the delay before each append. */
  public synchronized void setAppendDelay(Duration delay) {
    appendDelay = delay;
  }

  /** Appends the batches that were delayed. */
  public synchronized void deliverDelayed() {
    delayedAppends.forEach(Runnable::run);
    delayedAppends.clear();
  }

  /** Removes all batches of a stream before an offset. */
  public synchronized void expire(String stream, long beforeOffset) {
    batches(stream).headMap(beforeOffset, false).clear();
  }

  /** Removes one batch of a stream. */
  public synchronized void drop(String stream, long offset) {
    batches(stream).remove(offset);
  }

  /** Applies faults also to appends to the snapshot stream. */
  public synchronized void enableSnapshotFaults() {
    snapshotFaultsEnabled = true;
  }

  /** Returns the number of append requests. */
  public synchronized long appendCount() {
    return appendCount;
  }

  /** Returns the offset of the next append to a stream. */
  public synchronized long end(String stream) {
    return ends.getOrDefault(stream, 0L);
  }

  /** Returns the size of the largest batch appended so far, in bytes. */
  public synchronized int largestBatchBytes() {
    return largestBatchBytes;
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    awaitAppendDelay();
    synchronized (this) {
      appendCount++;
      if (stopped) {
        throw new LogException(LogException.Effect.NONE, "The log is stopped.");
      }
      AppendFault fault =
          snapshotFaultsEnabled || stream.equals(CONTROL_STREAM) ? faults.poll() : null;
      if (fault == null) {
        return store(stream, batch);
      }
      return switch (fault) {
        case ANSWER_LOST -> {
          store(stream, batch);
          throw answerLost();
        }
        case REQUEST_LOST -> throw answerLost();
        case DELAYED -> {
          delayedAppends.add(() -> store(stream, batch));
          throw answerLost();
        }
        case DUPLICATED -> {
          store(stream, batch);
          yield store(stream, batch);
        }
      };
    }
  }

  @Override
  public synchronized LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    long deadlineNanoseconds = System.nanoTime() + maximumWait.toNanos();
    try {
      while (!stopped && end(stream) <= fromOffset && deadlineNanoseconds - System.nanoTime() > 0) {
        wait(Math.max(1, (deadlineNanoseconds - System.nanoTime()) / 1_000_000));
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new LogException(LogException.Effect.NONE, "Interrupted.", interrupted);
    }
    if (stopped) {
      throw new LogException(LogException.Effect.NONE, "The log is stopped.");
    }
    TreeMap<Long, byte[]> batches = batches(stream);
    long firstAvailable = batches.isEmpty() ? end(stream) : batches.firstKey();
    List<LogSlice.Batch> slice =
        batches.tailMap(fromOffset, true).entrySet().stream()
            .limit(MAX_BATCHES_PER_READ)
            .map(entry -> new LogSlice.Batch(entry.getKey(), entry.getValue()))
            .toList();
    return new LogSlice(firstAvailable, end(stream), slice);
  }

  private void awaitAppendDelay() {
    Duration delay;
    synchronized (this) {
      delay = appendDelay;
    }
    try {
      Thread.sleep(delay);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new LogException(LogException.Effect.UNKNOWN, "Interrupted.", interrupted);
    }
  }

  private synchronized long store(String stream, byte[] batch) {
    long offset = end(stream);
    largestBatchBytes = Math.max(largestBatchBytes, batch.length);
    batches(stream).put(offset, batch);
    ends.put(stream, offset + 1);
    notifyAll();
    return offset;
  }

  private TreeMap<Long, byte[]> batches(String stream) {
    return streams.computeIfAbsent(stream, name -> new TreeMap<>());
  }

  private static LogException answerLost() {
    return new LogException(LogException.Effect.UNKNOWN, "The answer was lost.");
  }
}
