package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.RegistrationListener;
import java.time.Duration;

/**
 * Reports the registrations of workers while this instance is the leader. Used on the event loop.
 */
public interface WorkerFeed {
  /** Starts reporting: first all registered workers, then every change. */
  void start(RegistrationListener listener);

  /** Stops reporting. */
  void stop();

  /** Returns whether all registered workers have been reported since the start. */
  boolean isSynced();

  /** Returns how old the registrations may be that were reported last. */
  Duration age();
}
