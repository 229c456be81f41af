package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerRegistration;

/**
 * One life of a worker, from the start of its process on, as far as the leader knows it: its clock,
 * the numbers of its ends, and whether it has answered. A worker that starts again under its
 * identifier has forgotten all of this, and counts anew.
 */
final class WorkerLife {
  /** The minimum rate of a worker's clock relative to the clock of the leader. */
  static final double MINIMUM_CLOCK_RATE = 0.97;

  private final long fence;
  private long incarnation;
  private boolean incarnationKnown;

  /** From when on the worker runs at its speed, in milliseconds of the worker's clock. */
  private long warmFromMillis;

  /** When the clock of the worker was last read. */
  private long clockReadMillis;

  /** The last reading of the clock of the worker, in milliseconds of that clock. */
  private long workerClockMillis;

  private long lastSeenEnd;
  private long lastRecordedEnd;
  private long lastAcknowledgedEnd;
  private boolean unlistedEnds;
  private boolean polling;
  private boolean answered;
  private boolean listed;
  private long inDoubtSinceMillis = Long.MIN_VALUE;

  private WorkerLife(
      long fence, long incarnation, boolean incarnationKnown, long clockMillis, long nowMillis) {
    this.fence = fence;
    this.incarnation = incarnation;
    this.incarnationKnown = incarnationKnown;
    startClock(clockMillis, nowMillis);
  }

  /** Creates a life that has told its incarnation. */
  static WorkerLife known(long fence, long incarnation, long clockMillis, long nowMillis) {
    return new WorkerLife(fence, incarnation, true, clockMillis, nowMillis);
  }

  /** Creates a life of which only the clock is known, until it tells its incarnation. */
  static WorkerLife unknown(long fence, long formerIncarnation, long clockMillis, long nowMillis) {
    return new WorkerLife(fence, formerIncarnation, false, clockMillis, nowMillis);
  }

  /** Returns the fencing token of all orders that are made for this life. */
  long fence() {
    return fence;
  }

  /** Returns the incarnation; that of the life before it while it is not known. */
  long incarnation() {
    return incarnation;
  }

  boolean isIncarnationKnown() {
    return incarnationKnown;
  }

  void learnIncarnation(long newIncarnation) {
    incarnation = newIncarnation;
    incarnationKnown = true;
  }

  void recordWarmUp(WorkerRegistration registration) {
    if (registration.coldRemainingMillis() > 0) {
      warmFromMillis = registration.clockMillis() + registration.coldRemainingMillis();
    }
  }

  /** Returns whether the worker was still slow from its start at a time of its own clock. */
  boolean isCold(long workerMillis) {
    return workerMillis < warmFromMillis;
  }

  private void startClock(long clockMillis, long nowMillis) {
    workerClockMillis = clockMillis;
    clockReadMillis = nowMillis;
  }

  /**
   * Records a reading of the worker's clock that was taken at {@code nowMillis} or earlier. A
   * reading that tells less than the earlier ones, because it has been delayed, is ignored.
   */
  void recordClock(long clockMillis, long nowMillis) {
    if (clockMillis >= timeMillis(nowMillis)) {
      startClock(clockMillis, nowMillis);
    }
  }

  /**
   * Returns the time that the worker's clock shows at least, even if it has run at the minimum rate
   * since its last reading.
   */
  long timeMillis(long nowMillis) {
    return workerClockMillis + (long) ((nowMillis - clockReadMillis) * MINIMUM_CLOCK_RATE);
  }

  /** Returns whether an order of this life has been answered, so that the token is in force. */
  boolean hasAnswered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }

  /**
   * Records that an order for this life was not answered. It may have reached a later life, so no
   * ends are acknowledged until this life lists its runs again.
   */
  void markInDoubt(long nowMillis) {
    inDoubtSinceMillis = nowMillis;
  }

  /** Records that this life has answered a poll. */
  void markListed(long pollSentMillis) {
    listed = true;
    if (pollSentMillis > inDoubtSinceMillis) {
      inDoubtSinceMillis = Long.MIN_VALUE;
    }
  }

  /** Returns whether this life has listed its runs. */
  boolean hasListed() {
    return listed;
  }

  /** Returns the last end to acknowledge; 0 while a poll may reach a later life. */
  long endToAcknowledge() {
    boolean certain = listed && inDoubtSinceMillis == Long.MIN_VALUE;
    return certain ? lastRecordedEnd : 0;
  }

  long lastSeenEnd() {
    return lastSeenEnd;
  }

  void markEndSeen(long endNumber) {
    lastSeenEnd = Math.max(lastSeenEnd, endNumber);
  }

  void markEndRecorded(long endNumber) {
    lastRecordedEnd = Math.max(lastRecordedEnd, endNumber);
  }

  void markEndAcknowledged(long endNumber) {
    lastAcknowledgedEnd = Math.max(lastAcknowledgedEnd, endNumber);
  }

  boolean hasUnacknowledgedEnds() {
    return lastRecordedEnd > lastAcknowledgedEnd;
  }

  boolean hasUnrecordedEnds() {
    return lastSeenEnd > lastRecordedEnd;
  }

  /** Returns whether the worker had more unacknowledged ends than its last answer listed. */
  boolean hasUnlistedEnds() {
    return unlistedEnds;
  }

  void setUnlistedEnds(boolean newUnlistedEnds) {
    unlistedEnds = newUnlistedEnds;
  }

  /** Returns whether a poll of this life is open. */
  boolean isPolling() {
    return polling;
  }

  void setPolling(boolean newPolling) {
    polling = newPolling;
  }
}
