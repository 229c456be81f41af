package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.RegistrationListener;

/** Follows the workers' reports while this instance leads. Used on the event loop. */
public interface WorkerFeed {
  /** Reports all workers, then every change. */
  void start(RegistrationListener listener);

  /** Stops to report. */
  void stop();

  /** Says whether all workers have been reported since the start. */
  boolean isSynced();
}
