package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.OrderAnswer;
import java.util.concurrent.TimeUnit;

/**
 * Gives up the start of a gang that takes longer than its members wait for each other.
 *
 * <p>This answers a gang that is too wide to be started in time, or that has to be started while
 * many other orders wait. Its first members would end while the last ones are still being ordered,
 * and all of it would be started again at once, without an end and before the orders of other jobs.
 * So its run is stopped a little earlier, and the next one begins after a pause that doubles.
 *
 * <p>A gang is infeasible if several of its starts have taken too long and each needed more orders
 * than the leader could send in that time to all workers together. A start does not count if one of
 * its orders was not taken or was answered slowly, or if this process was paused: then the gang may
 * be started in time later, or on other workers.
 */
final class GangStartDeadline {
  /**
   * The part of the time that members wait for each other after which the start is given up; the
   * rest allows for stop orders that are answered slowly.
   */
  private static final double GIVE_UP_FRACTION = 0.8;

  /** How late the check of a deadline may be before this process counts as paused. */
  private static final long PAUSE_MILLIS = 300;

  /** The time of an answer above which a worker, or this process, counts as slowed. */
  private static final long SLOW_ANSWER_MILLIS = 100;

  private static final int MAXIMUM_SLOW_STARTS = 3;

  private final DispatchContext context;
  private final OrderQueue orders;
  private final RunDriver driver;
  private final RunDriver.Listener listener;

  GangStartDeadline(
      DispatchContext context, OrderQueue orders, RunDriver driver, RunDriver.Listener listener) {
    this.context = context;
    this.orders = orders;
    this.driver = driver;
    this.listener = listener;
  }

  /** Sets the deadline of a gang when the first of its start orders is sent. */
  void startOrderSent(ActiveRun run) {
    if (!run.unit().isGang() || !run.markStartBegun()) {
      return;
    }
    long waitMillis = (long) (context.settings().gangWaitMillis() * GIVE_UP_FRACTION);
    long deadlineMillis = context.nowMillis() + waitMillis;
    long ordersBefore = orders.sentOrders();
    context
        .eventLoop()
        .schedule(
            () -> check(run, deadlineMillis, orders.sentOrders() - ordersBefore),
            waitMillis,
            TimeUnit.MILLISECONDS);
  }

  /** Records how a worker answered a start order. */
  void startOrderAnswered(Member member, OrderAnswer answer) {
    boolean slow = context.nowMillis() - member.sentMillis() > SLOW_ANSWER_MILLIS;
    if (slow || !(answer instanceof OrderAnswer.Taken)) {
      member.run().markStartDisturbed();
    }
  }

  private void check(ActiveRun run, long deadlineMillis, long sentOrders) {
    boolean allOrdersSent =
        run.members().stream().noneMatch(member -> member.state() == Member.State.PLACED);
    if (driver.isClosed() || run.isAborting() || run.isResolved() || allOrdersSent) {
      return;
    }
    WorkUnit unit = run.unit();
    unit.postpone(context.nowMillis());
    boolean paused = context.nowMillis() > deadlineMillis + PAUSE_MILLIS;
    if (!paused && !run.isStartDisturbed() && sentOrders < run.members().size()) {
      unit.countSlowStart();
    }
    driver.abort(run, "gang-start-too-slow");
    if (unit.slowStarts() >= MAXIMUM_SLOW_STARTS) {
      listener.unitInfeasible(unit, "gang-too-wide-to-start");
    }
  }
}
