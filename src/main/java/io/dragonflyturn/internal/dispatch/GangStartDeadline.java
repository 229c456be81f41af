package io.dragonflyturn.internal.dispatch;

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
 * than the leader could send in that time to all workers together. Starts during which an order had
 * to be repeated, or this process was paused, do not count.
 */
final class GangStartDeadline {
  /**
   * The part of the time that members wait for each other after which the start is given up; the
   * rest allows for stop orders that are answered slowly.
   */
  private static final double GIVE_UP_FRACTION = 0.8;

  /** How late the check of a deadline may be before this process counts as paused. */
  private static final long PAUSE_MILLIS = 300;

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

  private void check(ActiveRun run, long deadlineMillis, long sentOrders) {
    boolean allOrdersSent =
        run.members().stream().noneMatch(member -> member.state() == Member.State.PLACED);
    if (driver.isClosed() || run.isAborting() || run.isResolved() || allOrdersSent) {
      return;
    }
    WorkUnit unit = run.unit();
    unit.postpone(context.nowMillis());
    boolean paused = context.nowMillis() > deadlineMillis + PAUSE_MILLIS;
    boolean repeated = run.members().stream().anyMatch(member -> member.startAttempts() > 1);
    if (!paused && !repeated && sentOrders < run.members().size()) {
      unit.countSlowStart();
    }
    driver.abort(run, "gang-start-too-slow");
    if (unit.slowStarts() >= MAXIMUM_SLOW_STARTS) {
      listener.unitInfeasible(unit, "gang-too-wide-to-start");
    }
  }
}
