package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Worker;
import java.util.concurrent.atomic.AtomicBoolean;

/** A slot of this entry at a worker, in use until it is released. */
final class TargetSlot {
  private final Worker worker;
  private final Runnable onRelease;
  private final AtomicBoolean released = new AtomicBoolean();

  TargetSlot(Worker worker, Runnable onRelease) {
    this.worker = worker;
    this.onRelease = onRelease;
  }

  /** Returns the worker that the slot belongs to. */
  Worker worker() {
    return worker;
  }

  /** Releases the slot. Further calls have no effect. */
  void release() {
    if (released.compareAndSet(false, true)) {
      onRelease.run();
    }
  }
}
