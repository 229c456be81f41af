package io.dragonflyturn.internal.request;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Schedules actions on a scheduled executor. The executor is shut down by its owner. */
public final class ExecutorRequestTimer implements RequestTimer {
  private final ScheduledExecutorService executor;

  /** Creates a timer backed by an executor. */
  public ExecutorRequestTimer(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable action) {
    ScheduledFuture<?> scheduled =
        executor.schedule(action, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    return () -> scheduled.cancel(false);
  }
}
