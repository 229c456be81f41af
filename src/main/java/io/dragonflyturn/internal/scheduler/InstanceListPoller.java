package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.internal.http.PlatformInstances;
import io.dragonflyturn.internal.membership.LeaderElector;
import java.time.Duration;
import java.util.function.Supplier;

/** Polls the platform's instance list while this replica is the leader. */
final class InstanceListPoller implements Supplier<InstanceList> {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(1_000);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

  private final PlatformInstances instances;
  private final LeaderElector leadership;
  private volatile InstanceList latest = InstanceList.EMPTY;

  InstanceListPoller(PlatformInstances instances, LeaderElector leadership) {
    this.instances = instances;
    this.leadership = leadership;
  }

  @Override
  public InstanceList get() {
    return latest;
  }

  /** Polls until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      if (leadership.leads()) {
        read();
      } else {
        latest = InstanceList.EMPTY;
      }
      Thread.sleep(POLL_INTERVAL);
    }
  }

  private void read() {
    try {
      latest = instances.read(READ_TIMEOUT);
    } catch (DragonflyturnException unreachable) {
      // A failed read says nothing about the instances, so the latest list stays in use.
      return;
    }
  }
}
