package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.StoreStatus;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Takes part in the leader election, and dispatches work to workers while this instance is the
 * leader. Must be used on the event loop only.
 */
public final class Dispatcher implements JobDirectory.Observer, LeaderElection.Listener {
  private static final long TICK_INTERVAL_MILLIS = 100;

  /** How long an instance waits between reads, so that it receives records in batches. */
  private static final Duration FOLLOWER_POLL_PAUSE = Duration.ofMillis(200);

  private final DispatchContext context;
  private final LeaderElection election;
  private final StoreStatus storeStatus;
  private @Nullable LeaderTerm term;
  private boolean stopped;

  /** Creates a dispatcher. It does not take part in the election until it is started. */
  public Dispatcher(DispatchContext context, StoreStatus storeStatus) {
    this.context = context;
    this.storeStatus = storeStatus;
    this.election =
        new LeaderElection(
            context.store(),
            context.instance(),
            context.capacity(),
            context.monotonicClock(),
            context.eventLoop(),
            context.events(),
            this);
    context.directory().setObserver(this);
  }

  /** Starts taking part in the election. */
  public void start() {
    tick();
  }

  /** Returns whether this instance is the leader and has loaded the stored state. */
  public boolean isLeading() {
    LeaderTerm current = term;
    return current != null && current.isReady();
  }

  /** Returns how long to wait before the next read of the jobs topic. */
  public Duration jobsPollPause() {
    return election.needsLatestRecords() ? Duration.ZERO : FOLLOWER_POLL_PAUSE;
  }

  /**
   * Withdraws from the election. If this instance is the leader, it releases the leadership first,
   * so that another instance can take over without waiting for a timeout.
   *
   * @param onResigned called when this instance has resigned
   */
  public void resign(Runnable onResigned) {
    stopped = true;
    election.withdraw();
    LeaderTerm current = term;
    if (current == null) {
      onResigned.run();
      return;
    }
    current.release(
        () -> {
          election.stepDown("released");
          onResigned.run();
        });
  }

  /** Checks all timeouts, now and at each interval; a failed check does not end the checks. */
  private void tick() {
    LoggedCallback.of(context.events(), "tick", this::checkTimeouts).run();
    context.eventLoop().schedule(this::tick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void checkTimeouts() {
    LeaderTerm current = term;
    if (current != null && current.hasLeaseExpired()) {
      election.stepDown("store-silent");
    } else if (current != null) {
      current.tick();
    }
    if (!stopped) {
      election.tick(storeStatus.isLoaded() && storeStatus.isReachable());
    }
  }

  @Override
  public void elected(long termNumber, long nextSequence, long proposedMillis) {
    LeadershipLease lease =
        new LeadershipLease(
            storeStatus,
            context.monotonicClock(),
            context.settings().leaseMillis(),
            proposedMillis);
    LeaderTerm next = new LeaderTerm(context, lease, termNumber, nextSequence, election::stepDown);
    term = next;
    next.start();
  }

  @Override
  public void leadershipLost() {
    LeaderTerm current = term;
    term = null;
    if (current != null) {
      current.close();
    }
  }

  @Override
  public void submitted(JobEntry entry) {
    LeaderTerm current = term;
    if (current != null) {
      current.submitted(entry);
    }
  }

  @Override
  public void cancelled(JobEntry entry) {
    LeaderTerm current = term;
    if (current != null) {
      current.cancelled(entry);
    }
  }

  @Override
  public void leadershipRead(LeadershipRecord record) {
    election.leadershipRead(record);
  }

  @Override
  public void leaderActive() {
    election.leaderActive();
  }

  @Override
  public void advancedTo(long nextOffset) {
    election.advancedTo(nextOffset);
    LeaderTerm current = term;
    if (current != null) {
      current.startIfLoaded();
    }
  }
}
