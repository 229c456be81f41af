package io.dragonflyturn.internal.logging;

import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** Wraps callbacks so that their exceptions, which would otherwise go unnoticed, are logged. */
public final class LoggedCallback {
  private LoggedCallback() {}

  /** Returns an action that logs and rethrows its exceptions. */
  public static <T> BiConsumer<@Nullable T, @Nullable Throwable> of(
      EventLog events, String name, BiConsumer<@Nullable T, @Nullable Throwable> action) {
    return (value, cause) -> {
      try {
        action.accept(value, cause);
      } catch (RuntimeException failure) {
        logFailure(events, name, failure);
        throw failure;
      }
    };
  }

  /**
   * Returns an action that logs and suppresses its exceptions, so that a periodic task continues.
   */
  public static Runnable of(EventLog events, String name, Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException failure) {
        logFailure(events, name, failure);
      }
    };
  }

  /** Logs an exception with the place where it was thrown. */
  static void logFailure(EventLog events, String name, Throwable failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    events
        .event("callback-failed")
        .with("callback", name)
        .with("cause", failure)
        .with("at", trace.length == 0 ? "" : trace[0])
        .write();
  }
}
