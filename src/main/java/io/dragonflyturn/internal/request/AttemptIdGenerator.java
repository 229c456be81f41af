package io.dragonflyturn.internal.request;

import java.util.concurrent.atomic.AtomicLong;

/** Generates attempt identifiers that are unique across all incarnations of all entries. */
final class AttemptIdGenerator {
  private final String incarnation;
  private final AtomicLong counter = new AtomicLong();

  AttemptIdGenerator(String incarnation) {
    this.incarnation = incarnation;
  }

  String next() {
    return incarnation + "/" + counter.incrementAndGet();
  }
}
