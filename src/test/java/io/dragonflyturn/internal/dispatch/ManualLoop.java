package io.dragonflyturn.internal.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A deterministic event loop whose clock is advanced by the test. */
final class ManualLoop extends AbstractExecutorService
    implements ScheduledExecutorService, InstantSource {
  private final PriorityQueue<Entry<?>> entries =
      new PriorityQueue<>(
          Comparator.comparingLong((Entry<?> entry) -> entry.dueMillis)
              .thenComparingLong(entry -> entry.number));
  private long nowMillis = 1_000;
  private long nextNumber;

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(nowMillis);
  }

  /** Advances the clock, and runs all actions that become due. */
  void advance(Duration time) {
    long end = nowMillis + time.toMillis();
    while (!entries.isEmpty() && entries.peek().dueMillis <= end) {
      Entry<?> entry = entries.poll();
      nowMillis = Math.max(nowMillis, entry.dueMillis);
      entry.run();
    }
    nowMillis = end;
  }

  @Override
  public void execute(Runnable action) {
    schedule(action, 0, TimeUnit.MILLISECONDS);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
    return schedule(
        () -> {
          action.run();
          return true;
        },
        delay,
        unit);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> action, long delay, TimeUnit unit) {
    Entry<V> entry = new Entry<>(action, nowMillis + unit.toMillis(delay), nextNumber++);
    entries.add(entry);
    return entry;
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable action, long initial, long period, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable action, long initial, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void shutdown() {
    entries.clear();
  }

  @Override
  public List<Runnable> shutdownNow() {
    entries.clear();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return true;
  }

  /**
   * A scheduled action. Actions that are due at the same time run in the order of their numbers.
   */
  private final class Entry<V> extends FutureTask<V> implements ScheduledFuture<V> {
    private final long dueMillis;
    private final long number;

    Entry(Callable<V> action, long dueMillis, long number) {
      super(action);
      this.dueMillis = dueMillis;
      this.number = number;
    }

    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(dueMillis - nowMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
      return Long.compare(getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
    }

    @Override
    protected void setException(Throwable failure) {
      throw new AssertionError("an action of the event loop failed", failure);
    }
  }
}
