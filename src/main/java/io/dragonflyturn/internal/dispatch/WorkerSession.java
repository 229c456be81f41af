package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * The leader's state for one worker: its present life, the members that may run on it, and until
 * when they may. Times are in milliseconds of the leader's monotonic clock, unless stated
 * otherwise.
 *
 * <p>An order that was made for one life may be carried out by the next one, which takes the end of
 * its lease for a time on its own clock and shortens it to the longest lease only. What such an
 * order grants is counted from its latest arrival, see {@link #firstAnswered} and {@link
 * LateOrders}.
 */
final class WorkerSession {
  /** Added to the end of each lease before it counts as expired. */
  private static final long LEASE_MARGIN_MILLIS = 300;

  /** How long a worker takes between two reports at most; then its registration is removed. */
  private static final long MAXIMUM_REPORT_GAP_MILLIS = 6_000;

  private final FencingTokens fencingTokens;
  private final LateOrders lateOrders;
  private final long longestLeaseMillis;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private WorkerRegistration registration;
  private WorkerLife life;
  private boolean mustListFirst;
  private boolean startUnanswered;
  private boolean registered = true;
  private long lastReportMillis;
  private boolean closed;

  /**
   * When the last lease expires on a clock that runs at the rate of the leader's clock, including
   * the margin.
   */
  private long latestLeaseEndMillis;

  private @Nullable ScheduledFuture<?> scheduledPoll;
  private int unansweredPolls;

  /**
   * Creates the session of a worker that this leader has sent no order.
   *
   * @param maximumLeaseMillis the longest lease that the worker accepts
   */
  WorkerSession(
      WorkerRegistration registration,
      FencingTokens fencingTokens,
      LateOrders lateOrders,
      long maximumLeaseMillis,
      long nowMillis) {
    this.registration = registration;
    this.fencingTokens = fencingTokens;
    this.lateOrders = lateOrders;
    this.lastReportMillis = nowMillis;
    this.longestLeaseMillis = (long) (maximumLeaseMillis / WorkerLife.MINIMUM_CLOCK_RATE);
    this.life =
        WorkerLife.known(
            fencingTokens.next(),
            registration.incarnation(),
            registration.clockMillis(),
            nowMillis);
    life.recordWarmUp(registration);
  }

  String id() {
    return registration.id();
  }

  WorkerRegistration registration() {
    return registration;
  }

  /** Returns the present life, as far as the leader knows. */
  WorkerLife life() {
    return life;
  }

  long incarnation() {
    return life.incarnation();
  }

  boolean isRegistered() {
    return registered;
  }

  void markUnregistered() {
    registered = false;
  }

  /** Updates the registration. Returns whether it tells of a new life. */
  boolean update(WorkerRegistration next, long nowMillis) {
    registered = true;
    lastReportMillis = nowMillis;
    registration = next;
    if (next.incarnation() > life.incarnation()) {
      if (life.isIncarnationKnown()) {
        beginLife(next.incarnation(), next.clockMillis(), nowMillis);
        life.recordWarmUp(next);
        return true;
      }
      life.learnIncarnation(next.incarnation());
    }
    if (life.isIncarnationKnown() && next.incarnation() == life.incarnation()) {
      life.recordClock(next.clockMillis(), nowMillis);
      life.recordWarmUp(next);
    }
    return false;
  }

  /** Records that the worker has started again. */
  void beginLife(long incarnation, long clockMillis, long nowMillis) {
    begin(WorkerLife.known(fencingTokens.next(), incarnation, clockMillis, nowMillis));
  }

  /** Records that the worker must have started again, because its clock shows too little. */
  void beginUnknownLife(long clockMillis, long nowMillis) {
    begin(WorkerLife.unknown(fencingTokens.next(), life.incarnation(), clockMillis, nowMillis));
  }

  private void begin(WorkerLife next) {
    life = next;
    mustListFirst = true;
    cancelScheduledPoll();
  }

  /** Records that orders for former lives may still be carried out by the present one. */
  void expectLateOrders() {
    mustListFirst = true;
  }

  /** Returns whether the present life has to list its runs before it gets work. */
  boolean awaitsFirstList() {
    return mustListFirst && !life.hasListed();
  }

  /**
   * Returns whether new work may be placed on the worker: not while it is silent, and not before
   * its new life has answered, because orders for the former one may still take effect there.
   */
  boolean isAvailable() {
    return registered && !isSilent() && !awaitsFirstList();
  }

  /** Returns whether the worker left a poll, or its last start order, unanswered. */
  boolean isSilent() {
    return unansweredPolls > 0 || startUnanswered;
  }

  /** Records whether the worker left its last start order unanswered. */
  void setStartUnanswered(boolean unanswered) {
    startUnanswered = unanswered;
  }

  /** Records that the worker has answered a poll. */
  void markAnswering() {
    unansweredPolls = 0;
    startUnanswered = false;
  }

  /** Returns the time that the worker's clock shows at least. */
  long workerTimeMillis(long nowMillis) {
    return life.timeMillis(nowMillis);
  }

  /** Returns whether the worker was still slow from its start at a time of its own clock. */
  boolean isCold(long workerMillis) {
    return life.isCold(workerMillis);
  }

  /** Grants a lease. Returns when it expires, in milliseconds of the worker's clock. */
  long grantLease(long untilMillis, long nowMillis) {
    extendLatestLeaseEnd(untilMillis);
    return life.timeMillis(nowMillis) + untilMillis - nowMillis;
  }

  /** Records that the worker may hold a lease until the given time. */
  void extendLatestLeaseEnd(long untilMillis) {
    latestLeaseEndMillis = Math.max(latestLeaseEndMillis, untilMillis + LEASE_MARGIN_MILLIS);
  }

  /**
   * Records that an earlier leader placed members here. Its last orders may have reached any life
   * until this leader was elected.
   *
   * @param electedMillis when this leader learned of its election
   */
  void expectEarlierOrders(long electedMillis) {
    extendLatestLeaseEnd(LeadershipLease.endOfEarlierLeasesMillis(electedMillis));
    extendLatestLeaseEnd(electedMillis + longestLeaseMillis);
  }

  /**
   * Records that the present life has answered an order. From its first answer on it refuses orders
   * that were made for former lives or by earlier leaders; what those have granted before ends a
   * longest lease later.
   */
  void firstAnswered(long nowMillis) {
    if (!life.hasAnswered()) {
      life.markAnswered();
      extendLatestLeaseEnd(nowMillis + longestLeaseMillis);
    }
  }

  /**
   * Records that an order that grants a lease was given up without an answer, or was answered by
   * another life than it was made for.
   */
  void orderLost(long nowMillis) {
    lateOrders.lost(id(), nowMillis);
  }

  /**
   * Returns whether every lease of the worker has certainly expired, even if its clock runs at the
   * minimum rate.
   *
   * @param leaseMillis the duration of a lease
   */
  boolean haveLeasesExpired(long nowMillis, long leaseMillis) {
    long driftMillis = (long) (leaseMillis / WorkerLife.MINIMUM_CLOCK_RATE) - leaseMillis;
    return nowMillis > latestLeaseEndMillis + driftMillis;
  }

  /**
   * Returns whether a member has certainly ended on a silent worker.
   *
   * <p>In the life that a start order was made for, it has no effect after its lease, however late
   * it is carried out. A later life counts its lease anew, but refuses it once it has answered. So
   * a member whose start was lost can outlast the leases only in a life that has not answered.
   *
   * @param knowsLives whether the leader would know of a later life
   */
  boolean hasCertainlyEnded(Member member, long nowMillis, long leaseMillis, boolean knowsLives) {
    if (!haveLeasesExpired(nowMillis, leaseMillis)) {
      return false;
    }
    boolean isBoundByLeases = member.isPlannedForPresentLife() || life.hasAnswered();
    return !member.hasLostStart()
        || (knowsLives && isRegistrationConclusive(nowMillis) && isBoundByLeases)
        || nowMillis > lastLateLeaseEndMillis();
  }

  /**
   * Returns whether the registration would tell of a later life: the worker has left the list, or
   * reports regularly. A report that is neither renewed nor removed tells nothing.
   */
  private boolean isRegistrationConclusive(long nowMillis) {
    return !registered || nowMillis - lastReportMillis <= MAXIMUM_REPORT_GAP_MILLIS;
  }

  /** Returns when the lease of every lost order has certainly expired, in any life. */
  private long lastLateLeaseEndMillis() {
    return lateOrders.lastArrivalMillis(id()) + longestLeaseMillis + LEASE_MARGIN_MILLIS;
  }

  Collection<Member> members() {
    return members.values();
  }

  @Nullable Member member(String task) {
    return members.get(task);
  }

  void add(Member member) {
    members.put(member.task(), member);
  }

  void remove(Member member) {
    members.remove(member.task(), member);
  }

  /** Returns whether the worker has left, and nothing is to be learned or told there any more. */
  boolean isObsolete() {
    boolean hasNews = life.hasUnacknowledgedEnds() && !isSilent();
    return !registered && members.isEmpty() && !hasNews;
  }

  /**
   * Ends this session. If the worker registers again it gets a new one, whose fencing token is
   * higher, so this one must not send it anything more.
   */
  void close() {
    closed = true;
    cancelScheduledPoll();
  }

  boolean isClosed() {
    return closed;
  }

  /**
   * Returns whether the worker has to be polled. A registered worker that is silent, or that has to
   * list its runs first, gets no work, so it is polled until it answers.
   */
  boolean needsPoll() {
    return !closed
        && (!members.isEmpty()
            || life.hasUnacknowledgedEnds()
            || (registered && (isSilent() || awaitsFirstList())));
  }

  boolean isPollScheduled() {
    return scheduledPoll != null;
  }

  void setScheduledPoll(ScheduledFuture<?> poll) {
    scheduledPoll = poll;
  }

  /** Cancels the scheduled poll; does nothing if there is none. */
  void cancelScheduledPoll() {
    if (scheduledPoll != null) {
      scheduledPoll.cancel(false);
      scheduledPoll = null;
    }
  }

  int unansweredPolls() {
    return unansweredPolls;
  }

  void countUnansweredPoll() {
    unansweredPolls++;
  }
}
