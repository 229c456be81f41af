package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.RegistrationListener;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import io.dragonflyturn.internal.logging.LoggedCallback;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.RunRecord;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The sessions of all workers that are registered or on which a run may exist. */
final class WorkerFleet implements RegistrationListener {
  private static final long FIRST_TERM = 1;

  /**
   * Added to the age of a life that a late order may have outlasted: for the time until the order
   * was given up, and for clocks that differ.
   */
  private static final long LIFE_AGE_MARGIN_MILLIS = 6_000;

  private final DispatchContext context;
  private final FencingTokens fencingTokens;
  private final LateOrders lateOrders;
  private final RegistryView registryView;
  private final long electedMillis;
  private final RunDriver driver;
  private final WorkerPoller poller;
  private final PaceObserver paces;
  private final RunDriver.Listener listener;
  private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();

  WorkerFleet(
      DispatchContext context,
      long term,
      long electedMillis,
      RunDriver driver,
      WorkerPoller poller,
      PaceObserver paces,
      RunDriver.Listener listener) {
    this.context = context;
    this.fencingTokens = new FencingTokens(term);
    this.lateOrders =
        term == FIRST_TERM ? LateOrders.ofFirstLeader() : LateOrders.ofSuccessor(electedMillis);
    this.registryView = new RegistryView(context.workerFeed());
    this.electedMillis = electedMillis;
    this.driver = driver;
    this.poller = poller;
    this.paces = paces;
    this.listener = listener;
  }

  Map<String, WorkerSession> sessions() {
    return sessions;
  }

  /** Polls every worker that needs a poll. */
  void pollAll() {
    sessions.values().forEach(session -> isolated(() -> poller.pollIfNeeded(session)));
  }

  /**
   * Processes timeouts of all sessions, and removes the sessions of unregistered workers without
   * members.
   */
  void tick() {
    long nowMillis = context.nowMillis();
    lateOrders.forgetPast(nowMillis, sessions.keySet());
    registryView.observe(nowMillis);
    boolean knowsLives = registryView.isComplete(nowMillis);
    for (WorkerSession session : List.copyOf(sessions.values())) {
      isolated(() -> poller.tick(session, knowsLives));
      paces.tick(session);
      if (session.isObsolete()) {
        session.close();
        sessions.remove(session.id());
        paces.forget(session.id());
      }
    }
  }

  /** Runs an action for one worker, so that its failure does not affect the other workers. */
  private void isolated(Runnable action) {
    LoggedCallback.of(context.events(), "worker", action).run();
  }

  /**
   * Returns the session of a worker on which an earlier leader placed a run; creates one if the
   * worker is not registered.
   */
  WorkerSession adopt(RunRecord.Placement placement) {
    WorkerSession session = sessions.get(placement.worker());
    if (session == null) {
      session = newSession(placeholderRegistration(placement));
      session.markUnregistered();
      sessions.put(placement.worker(), session);
    }
    session.expectEarlierOrders(electedMillis);
    return session;
  }

  private WorkerSession newSession(WorkerRegistration registration) {
    return new WorkerSession(
        registration,
        fencingTokens,
        lateOrders,
        context.settings().maximumLeaseMillis(),
        context.nowMillis());
  }

  private static WorkerRegistration placeholderRegistration(RunRecord.Placement placement) {
    return new WorkerRegistration(
        placement.worker(),
        placement.incarnation(),
        "",
        "",
        "",
        List.of(),
        Resources.NONE,
        true,
        0,
        0,
        0);
  }

  @Override
  public void registered(WorkerRegistration registration) {
    WorkerSession session = sessions.get(registration.id());
    if (session == null) {
      registeredFirst(registration);
      return;
    }
    boolean wasDraining = session.registration().draining();
    long incarnationBefore = session.incarnation();
    if (session.update(registration, context.nowMillis())) {
      driver.workerRestarted(session, "registration", incarnationBefore);
    }
    if (registration.draining() && !wasDraining) {
      abortLongRuns(session);
    }
    if (registration.draining() != wasDraining) {
      listener.resourcesChanged();
    }
  }

  /**
   * Adds a worker that this leader does not know, or that had left. One that orders for a former
   * life may still reach is polled before anything else, so that it refuses them.
   */
  private void registeredFirst(WorkerRegistration registration) {
    WorkerSession session = newSession(registration);
    sessions.put(registration.id(), session);
    if (!mayReceiveLateOrders(registration)) {
      listener.resourcesChanged();
      return;
    }
    session.expectLateOrders();
    context
        .events()
        .event("worker-awaits-list")
        .with("worker", session.id())
        .with("incarnation", session.incarnation())
        .with("fence", session.life().fence())
        .write();
    listener.workerRestarted(session);
  }

  /** Returns whether an order that was given up may reach a life that was not alive then. */
  private boolean mayReceiveLateOrders(WorkerRegistration registration) {
    long nowMillis = context.nowMillis();
    if (lateOrders.mayReach(registration.id(), nowMillis)) {
      return true;
    }
    long ageMillis = context.wallClock().millis() - registration.incarnation();
    return lateOrders.mayComeFromEarlierLeaders(nowMillis)
        && ageMillis < LateOrders.MAXIMUM_DELAY_MILLIS + LIFE_AGE_MARGIN_MILLIS;
  }

  /**
   * Stops the runs that a draining worker cannot finish before it leaves, so that they continue
   * elsewhere. A run without checkpoints is stopped only if it needs more than twice the time that
   * is left.
   */
  private void abortLongRuns(WorkerSession session) {
    long remainingMillis = session.registration().drainRemainingMillis();
    for (Member member : List.copyOf(session.members())) {
      long marginMillis = member.unit().step().checkpointed() ? 0 : remainingMillis;
      if (!member.unit().isDone()
          && paces.remainingMillis(member) > remainingMillis + marginMillis) {
        driver.abort(member.run(), "worker-drains");
      }
    }
  }

  @Override
  public void unregistered(String worker) {
    WorkerSession session = sessions.get(worker);
    if (session != null) {
      session.markUnregistered();
    }
  }
}
