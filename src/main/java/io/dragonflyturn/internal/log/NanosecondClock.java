package io.dragonflyturn.internal.log;

/**
 * A monotonic clock with an arbitrary origin. It keeps advancing while the process is suspended.
 */
@FunctionalInterface
public interface NanosecondClock {
  /** The system clock, {@link System#nanoTime}. */
  NanosecondClock SYSTEM = System::nanoTime;

  /** Returns the current time in nanoseconds. */
  long nanoseconds();
}
