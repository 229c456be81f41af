package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Refused;
import io.dragonflyturn.internal.fleet.OrderAnswer.Taken;
import io.dragonflyturn.internal.fleet.OrderAnswer.Unanswered;
import io.dragonflyturn.internal.fleet.StartOrder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends the start orders of members, and repeats each until its effect is known. Whether a member
 * may start is decided again when its order is sent, because orders wait in a queue.
 */
final class StartOrders {
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final DispatchContext context;
  private final LeadershipLease leadershipLease;
  private final OrderQueue orders;
  private final StopOrders stopOrders;
  private final GangStartDeadline gangStartDeadline;
  private final WorkerHealth health;
  private final RunEvents events;
  private final RunDriver driver;
  private final RunDriver.Listener listener;

  StartOrders(
      DispatchContext context,
      LeadershipLease leadershipLease,
      OrderQueue orders,
      StopOrders stopOrders,
      WorkerHealth health,
      RunEvents events,
      RunDriver driver,
      RunDriver.Listener listener) {
    this.context = context;
    this.leadershipLease = leadershipLease;
    this.orders = orders;
    this.stopOrders = stopOrders;
    this.gangStartDeadline = new GangStartDeadline(context, orders, driver, listener);
    this.health = health;
    this.events = events;
    this.driver = driver;
    this.listener = listener;
  }

  /** Sends the start order of a member as soon as the limits on orders allow it. */
  void send(Member member) {
    orders.submitStart(
        member.session().id(), () -> order(member), answer -> answered(member, answer));
  }

  /** Sends a start order. Returns a future of its answer; null if the member must not start. */
  private @Nullable CompletableFuture<OrderAnswer> order(Member member) {
    if (driver.isClosed() || member.isResolved() || member.isStopRequested()) {
      return null;
    }
    ActiveRun run = member.run();
    WorkUnit unit = run.unit();
    if (unit.job().isEnding()) {
      driver.abort(run, "job-ended");
    } else if (!member.isPlannedForPresentLife()) {
      driver.abort(run, "worker-restarted");
    } else if (context.rules().isOutOfService(member.session().registration().failureDomain())) {
      driver.abort(run, "failure-domain-out");
    } else if (!run.isAborting() && !driver.quota().admitStart(run)) {
      driver.abort(run, "customer-limit");
    }
    if (run.isAborting()) {
      stopOrders.request(member);
      return null;
    }
    if (leadershipLease.hasExpired()) {
      scheduleRetry(member);
      return null;
    }
    member.markSent(context.nowMillis());
    gangStartDeadline.startOrderSent(run);
    context.metrics().startsOrdered().inc();
    WorkerSession session = member.session();
    long leaseUntilMillis =
        session.grantLease(leadershipLease.workerLeaseEndMillis(), context.nowMillis());
    StartOrder order =
        new StartOrder(
            member.task(),
            run.number(),
            unit.job().submission().specification(),
            unit.checkpoint(),
            leaseUntilMillis,
            session.life().fence());
    return context.gateway().start(session.registration(), order);
  }

  private void answered(Member member, OrderAnswer answer) {
    if (driver.isClosed()) {
      return;
    }
    if (member.isResolved()) {
      answeredTooLate(member, answer);
      return;
    }
    gangStartDeadline.startOrderAnswered(member, answer);
    member.session().setStartUnanswered(answer instanceof Unanswered);
    switch (answer) {
      case Taken taken -> taken(member, taken);
      case Refused refusal -> refused(member, refusal.reason());
      case Unanswered none -> lost(member, "unanswered");
    }
  }

  /** Handles the answer to an order whose member is known to have ended meanwhile. */
  private void answeredTooLate(Member member, OrderAnswer answer) {
    if (answer instanceof Unanswered) {
      member.session().orderLost(context.nowMillis());
    }
  }

  private void taken(Member member, Taken taken) {
    WorkerSession session = member.session();
    if (!member.isPlannedForPresentLife()) {
      lost(member, "former-life");
    } else if (taken.clockMillis() < member.sentWorkerMillis()) {
      events.clockBehind(member, taken.clockMillis());
      long incarnationBefore = session.incarnation();
      session.beginUnknownLife(taken.clockMillis(), context.nowMillis());
      driver.workerRestarted(session, "clock", incarnationBefore);
      lost(member, "former-life");
    } else {
      confirm(member, taken);
    }
  }

  private void confirm(Member member, Taken taken) {
    member.session().firstAnswered(context.nowMillis());
    member.session().life().recordClock(taken.clockMillis(), context.nowMillis());
    member.confirm(context.nowMillis());
    events.startOrdered(member, "taken");
    listener.memberActive(member);
  }

  private void refused(Member member, OrderAnswer.Reason reason) {
    boolean tellsOfFormerLife =
        reason == OrderAnswer.Reason.FENCED || reason == OrderAnswer.Reason.OLD_RUN;
    if (tellsOfFormerLife && !member.isPlannedForPresentLife()) {
      lost(member, "former-life");
      return;
    }
    events.startOrdered(member, reason);
    context.metrics().startsFailed().inc();
    if (reason == OrderAnswer.Reason.FENCED) {
      listener.fenced();
    } else if (reason == OrderAnswer.Reason.OLD_RUN) {
      // An earlier start or stop order arrived; the next poll shows whether the run is active.
      member.confirm(context.nowMillis());
      listener.memberActive(member);
    } else {
      handleIneffective(member, reason);
    }
  }

  /**
   * Handles a start order that had no effect. An earlier attempt without an answer may still arrive
   * at the worker, so in that case the run is stopped: only an accepted stop order rules out a late
   * start.
   */
  private void handleIneffective(Member member, OrderAnswer.Reason reason) {
    health.recordRefusal(member.session().id());
    boolean earlierAttemptMayArrive =
        member.startAttempts() > 1 && reason != OrderAnswer.Reason.OTHER_LIFE;
    if (earlierAttemptMayArrive) {
      driver.abort(member.run(), "start-refused-after-unanswered");
    } else {
      driver.resolve(member, EndKind.NOT_STARTED, "");
    }
  }

  /**
   * Repeats a start order of which it is not known whether the worker has executed it, unless the
   * worker has started again meanwhile: then its list tells.
   */
  private void lost(Member member, String outcome) {
    events.startOrdered(member, outcome);
    context.metrics().startsFailed().inc();
    member.markStartLost(context.nowMillis());
    member.session().orderLost(context.nowMillis());
    member.session().life().markInDoubt(context.nowMillis());
    listener.memberActive(member);
    if (member.state() == State.CONFIRMED) {
      return;
    }
    if (member.startAttempts() >= MAXIMUM_ATTEMPTS) {
      health.recordRefusal(member.session().id());
      driver.abort(member.run(), "start-unanswered");
      return;
    }
    scheduleRetry(member);
  }

  private void scheduleRetry(Member member) {
    context
        .eventLoop()
        .schedule(() -> sendIfUnconfirmed(member), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sendIfUnconfirmed(Member member) {
    boolean unconfirmed = member.state() == State.PLACED || member.state() == State.SENT;
    if (unconfirmed && !member.isStopRequested()) {
      send(member);
    }
  }
}
