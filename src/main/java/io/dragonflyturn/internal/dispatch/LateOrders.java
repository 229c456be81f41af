package io.dragonflyturn.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers until when orders that were given up may still be carried out, by worker. An order is
 * carried out in whatever life its worker then has, so this outlasts the sessions of workers that
 * have left. Times are in milliseconds of the leader's monotonic clock.
 */
final class LateOrders {
  /** How long after it was given up an order may still be carried out. */
  static final long MAXIMUM_DELAY_MILLIS = 12_000;

  private final Map<String, Long> lastArrivalByWorker = new HashMap<>();
  private final long earlierLeadersEndMillis;

  private LateOrders(long earlierLeadersEndMillis) {
    this.earlierLeadersEndMillis = earlierLeadersEndMillis;
  }

  /** Returns the late orders of a leader that has sent none, and that no other one preceded. */
  static LateOrders ofFirstLeader() {
    return new LateOrders(Long.MIN_VALUE);
  }

  /**
   * Returns the late orders of a leader that has sent none. It does not know which orders of its
   * predecessors were lost; the last of them was sent before their leases ended.
   *
   * @param electedMillis when the leader learned of its election
   */
  static LateOrders ofSuccessor(long electedMillis) {
    return new LateOrders(
        LeadershipLease.endOfEarlierLeasesMillis(electedMillis) + MAXIMUM_DELAY_MILLIS);
  }

  /** Records that an order to a worker was given up without an answer. */
  void lost(String worker, long nowMillis) {
    lastArrivalByWorker.put(worker, nowMillis + MAXIMUM_DELAY_MILLIS);
  }

  /** Returns when the last of the orders to a worker may be carried out that this leader lost. */
  long lastArrivalMillis(String worker) {
    return lastArrivalByWorker.getOrDefault(worker, Long.MIN_VALUE);
  }

  /** Returns whether an order that this leader lost may still be carried out by a worker. */
  boolean mayReach(String worker, long nowMillis) {
    return nowMillis <= lastArrivalMillis(worker);
  }

  /** Returns whether an order of an earlier leader may still be carried out by any worker. */
  boolean mayComeFromEarlierLeaders(long nowMillis) {
    return nowMillis <= earlierLeadersEndMillis;
  }

  /**
   * Forgets the orders that cannot be carried out any more, but for workers that are known: what
   * their late orders started may be at work for a longest lease after the arrival.
   */
  void forgetPast(long nowMillis, Set<String> knownWorkers) {
    lastArrivalByWorker
        .entrySet()
        .removeIf(each -> each.getValue() < nowMillis && !knownWorkers.contains(each.getKey()));
  }
}
