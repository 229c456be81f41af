package io.dragonflyturn.internal.logging;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A single-threaded event loop that logs and counts the exceptions of its tasks, which the executor
 * would otherwise keep in futures that nobody reads.
 */
public final class EventLoop extends ScheduledThreadPoolExecutor {
  private final EventLog events;
  private final AtomicLong failures = new AtomicLong();

  /** Creates an event loop; tasks that are still delayed at a shutdown are dropped. */
  public EventLoop(EventLog events) {
    super(1, Thread.ofPlatform().daemon().name("event-loop").factory());
    this.events = events;
    setRemoveOnCancelPolicy(true);
    setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Returns the number of tasks that ended with an exception. */
  public long failures() {
    return failures.get();
  }

  @Override
  protected void afterExecute(Runnable task, @Nullable Throwable thrown) {
    super.afterExecute(task, thrown);
    Throwable failure = thrown == null ? failureOf(task) : thrown;
    if (failure != null) {
      failures.incrementAndGet();
      LoggedCallback.logFailure(events, "task", failure);
    }
  }

  private static @Nullable Throwable failureOf(Runnable task) {
    return task instanceof Future<?> future && future.state() == Future.State.FAILED
        ? future.exceptionNow()
        : null;
  }
}
