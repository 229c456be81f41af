package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Refused;
import io.dragonflyturn.internal.fleet.OrderAnswer.Taken;
import io.dragonflyturn.internal.fleet.StopOrder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Sends the stop orders of members, and repeats each until it is accepted or needless. */
final class StopOrders {
  private static final long RETRY_DELAY_MILLIS = 300;

  private final DispatchContext context;
  private final OrderQueue orders;
  private final RunEvents events;
  private final RunDriver driver;
  private final RunDriver.Listener listener;

  StopOrders(
      DispatchContext context,
      OrderQueue orders,
      RunEvents events,
      RunDriver driver,
      RunDriver.Listener listener) {
    this.context = context;
    this.orders = orders;
    this.events = events;
    this.driver = driver;
    this.listener = listener;
  }

  /**
   * Stops a member; does nothing if that has been requested before. A member whose start order has
   * not been sent is resolved at once.
   */
  void request(Member member) {
    if (member.isResolved() || member.isStopRequested()) {
      return;
    }
    member.markStopRequested();
    if (member.state() == State.PLACED) {
      driver.resolve(member, EndKind.NOT_STARTED, "");
      return;
    }
    submit(member);
  }

  /**
   * Stops a member again whose worker has started again: the new life knows of no stop; does
   * nothing if no stop was requested.
   */
  void repeat(Member member) {
    if (member.isStopRequested() && !member.isResolved()) {
      submit(member);
    }
  }

  private void submit(Member member) {
    Attempt attempt = new Attempt(member);
    orders.submitStop(
        member.session().id(), () -> send(attempt), answer -> answered(attempt, answer));
  }

  /** Sends a stop order. Returns a future of its answer; null if the member has ended. */
  private @Nullable CompletableFuture<OrderAnswer> send(Attempt attempt) {
    Member member = attempt.member;
    if (driver.isClosed() || member.isResolved()) {
      return null;
    }
    WorkerSession session = member.session();
    attempt.life = session.life();
    StopOrder order = new StopOrder(member.task(), member.run().number(), session.life().fence());
    return context.gateway().stop(session.registration(), order);
  }

  private void answered(Attempt attempt, OrderAnswer answer) {
    Member member = attempt.member;
    boolean isOutdated = attempt.life != member.session().life();
    if (driver.isClosed() || member.isResolved() || isOutdated) {
      return;
    }
    if (answer instanceof Taken) {
      member.markStopAccepted(context.nowMillis());
      listener.memberActive(member);
      return;
    }
    if (answer instanceof Refused refused && settled(member, refused.reason())) {
      return;
    }
    context.eventLoop().schedule(() -> submit(member), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Handles a refused stop order. Returns whether the order need not be repeated. */
  private boolean settled(Member member, OrderAnswer.Reason reason) {
    if (reason == OrderAnswer.Reason.FENCED) {
      listener.fenced();
      return true;
    }
    if (reason == OrderAnswer.Reason.OTHER_LIFE) {
      driver.resolve(member, EndKind.LOST, "");
      return true;
    }
    events.stopRefused(member, reason);
    return false;
  }

  /** A stop order with the life of the worker that it was made for. */
  private static final class Attempt {
    private final Member member;
    private @Nullable WorkerLife life;

    Attempt(Member member) {
      this.member = member;
    }
  }
}
