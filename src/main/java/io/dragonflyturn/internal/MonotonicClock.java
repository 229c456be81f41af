package io.dragonflyturn.internal;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that never goes backwards; its instants are only comparable within this process. */
public final class MonotonicClock implements InstantSource {
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return Instant.EPOCH.plusNanos(System.nanoTime() - startNanos);
  }
}
