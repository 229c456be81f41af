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
  private final long term;
  private final OrderQueue orders;
  private final RunEvents events;
  private final RunDriver driver;
  private final RunDriver.Listener listener;

  StopOrders(
      DispatchContext context,
      long term,
      OrderQueue orders,
      RunEvents events,
      RunDriver driver,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
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

  private void submit(Member member) {
    orders.submitStop(
        member.session().id(), () -> send(member), answer -> answered(member, answer));
  }

  /** Sends a stop order. Returns a future of its answer; null if the member has ended. */
  private @Nullable CompletableFuture<OrderAnswer> send(Member member) {
    if (driver.isClosed() || member.isResolved()) {
      return null;
    }
    StopOrder order = new StopOrder(member.task(), member.run().number(), term);
    return context.gateway().stop(member.session().registration(), order);
  }

  private void answered(Member member, OrderAnswer answer) {
    if (driver.isClosed() || member.isResolved()) {
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
}
