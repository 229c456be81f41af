package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.internal.http.PlatformInstances;
import io.dragonflyturn.internal.membership.LeaderElector;
import java.time.Duration;
import java.util.function.Supplier;

/** Reads the platform's list of instances at intervals while this replica leads. */
final class InstanceListPoller implements Supplier<InstanceList> {
  private static final Duration INTERVAL = Duration.ofMillis(1_000);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final PlatformInstances instances;
  private final LeaderElector leadership;
  private volatile InstanceList last = InstanceList.EMPTY;

  InstanceListPoller(PlatformInstances instances, LeaderElector leadership) {
    this.instances = instances;
    this.leadership = leadership;
  }

  @Override
  public InstanceList get() {
    return last;
  }

  /** Reads until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      if (leadership.leads()) {
        read();
      } else {
        last = InstanceList.EMPTY;
      }
      Thread.sleep(INTERVAL);
    }
  }

  private void read() {
    try {
      last = instances.read(TIMEOUT);
    } catch (DragonflyturnException unreachable) {
      // The last list stays in use: a list that cannot be read is no news.
      return;
    }
  }
}
