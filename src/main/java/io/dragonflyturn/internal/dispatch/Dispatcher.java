package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.StoreContact;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Takes part in the election of the leader, and leads while this instance is elected. Used on the
 * event loop only.
 */
public final class Dispatcher implements JobDirectory.Observer, LeaderElection.Listener {
  private static final long TICK_INTERVAL_MILLIS = 100;

  /** How long a leader that does not reach the store goes on to renew leases. */
  private static final Duration MAXIMUM_STORE_SILENCE = Duration.ofSeconds(8);

  private final DispatchContext context;
  private final LeaderElection election;
  private final StoreContact contact;
  private @Nullable LeaderTerm term;
  private boolean stopped;

  /** Creates a dispatcher that takes no part until it is started. */
  public Dispatcher(DispatchContext context, StoreContact contact) {
    this.context = context;
    this.contact = contact;
    this.election =
        new LeaderElection(
            context.store(),
            context.instance(),
            context.capacity(),
            context.monotonicClock(),
            context.loop(),
            context.events(),
            this);
    context.directory().setObserver(this);
  }

  /** Starts to take part. */
  public void start() {
    tick();
  }

  /** Says whether this instance leads and has taken over all that is stored. */
  public boolean isLeading() {
    LeaderTerm current = term;
    return current != null && current.isReady();
  }

  /** Says whether this instance is elected, also while it still takes over. */
  public boolean isElected() {
    return term != null;
  }

  /** Takes no further part, and tells the others where this instance leads; then calls back. */
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

  private void tick() {
    LeaderTerm current = term;
    if (current != null) {
      current.tick();
    }
    if (contact.silence().compareTo(MAXIMUM_STORE_SILENCE) > 0) {
      election.stepDown("store-silent");
    }
    if (!stopped) {
      election.tick(contact.isListed() && contact.isReachable());
    }
    context
        .loop()
        .schedule(
            LoggedCallback.of(context.events(), "tick", this::tick),
            TICK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void elected(long termNumber, long nextSequence) {
    LeaderTerm next =
        new LeaderTerm(context, termNumber, nextSequence, () -> election.stepDown("order-fenced"));
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
  public void reached(long nextOffset) {
    election.reached(nextOffset);
  }
}
