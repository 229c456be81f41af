package io.dragonflyturn.internal.dispatch;

/**
 * Limits how many orders to workers may await an answer at the same time.
 *
 * <p>This answers a burst of placements at a leader with little processor time, for example right
 * after a take-over. If all orders were sent at once, each would wait for the others inside this
 * process until its timeout; the repeated orders would add to the load, until no order is answered
 * in time. The limit falls while answers are slow, and rises while they are fast. Workers that give
 * no answer do not lower it as long as others do, so that an outage of a failure domain does not
 * delay the orders to the others.
 */
final class OrderConcurrency {
  private static final int INITIAL_LIMIT = 8;
  private static final int MINIMUM_LIMIT = 4;
  private static final int MAXIMUM_LIMIT = 256;

  /**
   * The time of an answer above which the limit falls, in milliseconds; half of the time after
   * which an order counts as unanswered.
   */
  private static final long SLOW_ANSWER_MILLIS = 250;

  private static final double DECREASE_FACTOR = 0.5;

  private int limit = INITIAL_LIMIT;
  private long lastDecreaseMillis = Long.MIN_VALUE;
  private long lastAnswerMillis = Long.MIN_VALUE;

  /** Returns how many orders may await an answer. */
  int limit() {
    return limit;
  }

  /**
   * Records that an order was answered.
   *
   * @param sentMillis when it was sent, in milliseconds of the monotonic clock
   * @param nowMillis the current time of the same clock
   */
  void answered(long sentMillis, long nowMillis) {
    lastAnswerMillis = nowMillis;
    if (nowMillis - sentMillis > SLOW_ANSWER_MILLIS) {
      decrease(sentMillis, nowMillis);
    } else {
      limit = Math.min(MAXIMUM_LIMIT, limit + 1);
    }
  }

  /**
   * Records that an order got no answer in time.
   *
   * @param sentMillis when it was sent, in milliseconds of the monotonic clock
   * @param nowMillis the current time of the same clock
   */
  void unanswered(long sentMillis, long nowMillis) {
    if (lastAnswerMillis < sentMillis) {
      decrease(sentMillis, nowMillis);
    }
  }

  /** Lowers the limit, once for all orders that were sent before it last fell. */
  private void decrease(long sentMillis, long nowMillis) {
    if (sentMillis >= lastDecreaseMillis) {
      limit = Math.max(MINIMUM_LIMIT, (int) (limit * DECREASE_FACTOR));
      lastDecreaseMillis = nowMillis;
    }
  }
}
