package io.dragonflyturn.internal.logging;

import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** Wraps the actions of futures, whose failures would otherwise be seen by nobody. */
public final class LoggedCallback {
  private LoggedCallback() {}

  /** Returns an action that logs its own failure and passes it on. */
  public static <T> BiConsumer<@Nullable T, @Nullable Throwable> of(
      EventLog events, String name, BiConsumer<@Nullable T, @Nullable Throwable> action) {
    return (value, failure) -> {
      try {
        action.accept(value, failure);
      } catch (RuntimeException fault) {
        logFailure(events, name, fault);
        throw fault;
      }
    };
  }

  /** Returns an action that logs its own failure and ends normally, so that a loop goes on. */
  public static Runnable of(EventLog events, String name, Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException fault) {
        logFailure(events, name, fault);
      }
    };
  }

  private static void logFailure(EventLog events, String name, RuntimeException fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    events
        .event("callback-failed")
        .with("callback", name)
        .with("cause", fault)
        .with("at", trace.length == 0 ? "" : trace[0])
        .write();
  }
}
