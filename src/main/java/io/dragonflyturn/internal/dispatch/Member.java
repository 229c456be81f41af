package io.dragonflyturn.internal.dispatch;

import java.util.function.LongSupplier;

/**
 * A member of a run: one task on the worker that it is placed on. Times are in milliseconds of the
 * monotonic clock; 0 means not yet.
 */
final class Member {
  private static final int FULL_PERCENT = 100;

  /**
   * The progress, in percent, from which the remaining time is extrapolated; lower values are too
   * inaccurate.
   */
  private static final int MINIMUM_ESTIMATE_PERCENT = 10;

  /**
   * The progress, in percent, from which the pace of a run is known; it is listed in whole percent.
   */
  private static final int MINIMUM_PACE_PERCENT = 15;

  /** The progress, in percent, from which the pace tells the run time better than the end does. */
  private static final int ACCURATE_PACE_PERCENT = 50;

  /** How long a run may make no progress before it counts as stalled. */
  private static final long STALL_TIMEOUT_MILLIS = 3_500;

  /**
   * The share of the work, in percent, whose estimated time a run may take without progress. It
   * allows for estimates that are far too low, because progress is listed in whole percent.
   */
  private static final int STALL_PERCENT = 15;

  private final ActiveRun run;
  private final WorkerSession session;
  private final String task;
  private final WorkerLife plannedLife;
  private final boolean adopted;
  private State state;
  private int startAttempts;
  private long sentWorkerMillis;
  private boolean lostStart;
  private long lostStartMillis;
  private boolean stopRequested;
  private long sentMillis;
  private long confirmedMillis;
  private long earlierRunTimeMillis;
  private long stopAcceptedMillis;
  private int percent;

  /** The progress that was not made under this leader in this run, in percent. */
  private int firstPercent;

  /** The run time when that progress was listed, in milliseconds. */
  private long firstRunTimeMillis;

  private boolean listed;

  /** When the worker last listed this member, in milliseconds of the worker's clock. */
  private long listedMillis;

  /** When the worker listed the latest progress first, in milliseconds of the worker's clock. */
  private long progressMillis;

  /** The progress, in percent, from which the pace is measured; negative if there is none yet. */
  private int paceFromPercent = -1;

  /** The measured progress, in percent, at which the pace was read last. */
  private int paceReadPercent;

  /** When the worker had made that progress, in milliseconds of the worker's clock. */
  private long paceFromMillis;

  Member(ActiveRun run, WorkerSession session, String task, State state) {
    this.run = run;
    this.session = session;
    this.task = task;
    this.plannedLife = session.life();
    this.state = state;
    this.adopted = state == State.UNCERTAIN;
  }

  /** What is known about whether a member is running. */
  enum State {
    /** No start order has been sent. */
    PLACED,
    /** A start order was sent, but no answer confirms the start. */
    SENT,
    /**
     * An earlier leader placed the member, or its worker has started again; whether it is running
     * is unknown.
     */
    UNCERTAIN,
    /** The worker has accepted the start order, or has listed the run. */
    CONFIRMED,
    /** The member is known to have ended, or is certain never to start. */
    RESOLVED
  }

  ActiveRun run() {
    return run;
  }

  WorkUnit unit() {
    return run.unit();
  }

  WorkerSession session() {
    return session;
  }

  String task() {
    return task;
  }

  State state() {
    return state;
  }

  boolean isResolved() {
    return state == State.RESOLVED;
  }

  void resolve() {
    if (state != State.RESOLVED) {
      state = State.RESOLVED;
      run.countResolvedMember();
    }
  }

  void markSent(long nowMillis) {
    state = State.SENT;
    sentMillis = nowMillis;
    sentWorkerMillis = session.workerTimeMillis(nowMillis);
    startAttempts++;
  }

  /** Returns when the last start order was sent. */
  long sentMillis() {
    return sentMillis;
  }

  /** Returns what the worker's clock showed at least when the last start order was sent. */
  long sentWorkerMillis() {
    return sentWorkerMillis;
  }

  /**
   * Returns whether the worker has not started again since the member was placed there. A later
   * life may have another capacity or other labels, so the member must not be started in it.
   */
  boolean isPlannedForPresentLife() {
    return plannedLife == session.life();
  }

  /** Records that a start order was given up, or was answered by a life it was not made for. */
  void markStartLost(long nowMillis) {
    lostStart = true;
    lostStartMillis = nowMillis;
  }

  /** Returns whether a lost start order may have started the member in an unknown life. */
  boolean hasLostStart() {
    return lostStart;
  }

  /** Returns whether a start order was lost, and it is not known yet whether it had an effect. */
  boolean isStartInDoubt() {
    return lostStart && state == State.SENT;
  }

  /** Records that the present life has listed the member in its answer to a poll. */
  void markListed(long pollSentMillis) {
    if (pollSentMillis > lostStartMillis + LateOrders.MAXIMUM_DELAY_MILLIS) {
      lostStart = false;
    }
  }

  /**
   * Records that the worker has started again: whether it runs the member is unknown, and what was
   * read from the clock of its former life means nothing any more.
   */
  void workerRestarted(long nowMillis) {
    stopAcceptedMillis = 0;
    listedMillis = session.workerTimeMillis(nowMillis);
    progressMillis = listedMillis;
    paceFromPercent = -1;
    if (state == State.SENT || state == State.CONFIRMED) {
      state = State.UNCERTAIN;
    }
  }

  int startAttempts() {
    return startAttempts;
  }

  void confirm(long nowMillis) {
    if (state == State.RESOLVED || state == State.CONFIRMED) {
      return;
    }
    state = State.CONFIRMED;
    confirmedMillis = nowMillis;
    progressMillis = session.workerTimeMillis(nowMillis);
    listedMillis = progressMillis;
    if (!adopted && !unit().isGang() && unit().checkpoint().isEmpty()) {
      measurePaceFrom(0);
    }
  }

  boolean isStopRequested() {
    return stopRequested;
  }

  void markStopRequested() {
    stopRequested = true;
  }

  void markStopAccepted(long nowMillis) {
    if (stopAcceptedMillis == 0) {
      stopAcceptedMillis = nowMillis;
    }
  }

  /**
   * Records the progress that the worker lists. Returns whether it is the first progress of a run
   * that this leader has started.
   */
  boolean updateProgress(int newPercent, long nowMillis) {
    final boolean isFirstProgress = !adopted && percent == 0 && newPercent > 0;
    if (!listed && (adopted || !unit().checkpoint().isEmpty())) {
      earlierRunTimeMillis = unit().step().estimateMillis() * newPercent / FULL_PERCENT;
      firstPercent = newPercent;
      firstRunTimeMillis = runTimeMillis(nowMillis);
    }
    listed = true;
    listedMillis = session.workerTimeMillis(nowMillis);
    if (newPercent != percent) {
      percent = newPercent;
      progressMillis = listedMillis;
      if (paceFromPercent < 0) {
        measurePaceFrom(newPercent);
      }
    }
    return isFirstProgress;
  }

  /** Begins to measure the pace at the latest progress, unless the worker is not yet at speed. */
  private void measurePaceFrom(int fromPercent) {
    if (!session.isCold(progressMillis)) {
      paceFromPercent = fromPercent;
      paceFromMillis = progressMillis;
    }
  }

  /**
   * Returns whether the pace is known, or known better, for the first time since the last such
   * answer. A task that lasts long thus tells its pace no more often than others.
   */
  boolean readsNewPace() {
    int measuredPercent = paceFromPercent < 0 ? 0 : percent - paceFromPercent;
    int neededPercent =
        paceReadPercent < MINIMUM_PACE_PERCENT ? MINIMUM_PACE_PERCENT : ACCURATE_PACE_PERCENT;
    boolean isNew = measuredPercent >= neededPercent && paceReadPercent < ACCURATE_PACE_PERCENT;
    if (isNew) {
      paceReadPercent = measuredPercent;
    }
    return isNew;
  }

  /**
   * Returns how long the task takes from start to end at the pace that was measured so far, in
   * milliseconds; 0 if too little was measured.
   */
  double paceMillis() {
    int measuredPercent = percent - paceFromPercent;
    if (paceFromPercent < 0 || measuredPercent < MINIMUM_PACE_PERCENT) {
      return 0;
    }
    return (double) (progressMillis - paceFromMillis) * FULL_PERCENT / measuredPercent;
  }

  /**
   * Returns how long the task took that has just completed, in milliseconds; 0 if its start was not
   * seen.
   */
  double completedMillis(long nowMillis) {
    if (paceFromPercent < 0) {
      return 0;
    }
    if (percent - paceFromPercent >= ACCURATE_PACE_PERCENT) {
      return paceMillis();
    }
    long measuredMillis = session.workerTimeMillis(nowMillis) - paceFromMillis;
    return (double) measuredMillis * FULL_PERCENT / (FULL_PERCENT - paceFromPercent);
  }

  int percent() {
    return percent;
  }

  /**
   * Returns how long the member has run, in milliseconds. The time under an earlier leader, and
   * that of earlier runs up to a checkpoint, are estimated from the progress that is listed first.
   */
  long runTimeMillis(long nowMillis) {
    return confirmedMillis == 0 ? 0 : earlierRunTimeMillis + nowMillis - confirmedMillis;
  }

  /**
   * Returns the estimated remaining run time, in milliseconds. It is extrapolated from the progress
   * that was observed, at the time when it was listed. If that is too little, the expected run time
   * counts, too.
   *
   * <p>A run that exceeds its expected time and has hardly made progress is one of those that last
   * many times as long, and is expected to last at least as long again.
   *
   * @param expectedMillis how long the task is expected to run on this worker; asked for only if it
   *     is needed
   */
  long remainingMillis(long nowMillis, LongSupplier expectedMillis) {
    long observedPercent = percent - firstPercent;
    long extrapolatedMillis = 0;
    if (observedPercent > 0) {
      long sinceListedMillis = session.workerTimeMillis(nowMillis) - listedMillis;
      long observedMillis = runTimeMillis(nowMillis) - sinceListedMillis - firstRunTimeMillis;
      long whenListedMillis = observedMillis * (FULL_PERCENT - percent) / observedPercent;
      extrapolatedMillis = Math.max(0, whenListedMillis - sinceListedMillis);
    }
    return observedPercent >= MINIMUM_ESTIMATE_PERCENT
        ? extrapolatedMillis
        : Math.max(
            extrapolatedMillis, expectedRemainingMillis(nowMillis, expectedMillis.getAsLong()));
  }

  /**
   * Returns the remaining run time by the expected one. How fast a run was under an earlier leader
   * is not known, so it may take the whole time again until it is seen to progress.
   */
  private long expectedRemainingMillis(long nowMillis, long expectedMillis) {
    if (adopted && percent == firstPercent) {
      return expectedMillis;
    }
    long runTimeMillis = runTimeMillis(nowMillis);
    return runTimeMillis < expectedMillis ? expectedMillis - runTimeMillis : runTimeMillis;
  }

  /**
   * Returns whether the worker has listed no progress for longer than a timeout, and for longer
   * than the estimated time of several percent of the work. It is measured on the worker's clock,
   * so neither a pause of this process nor a late answer counts as a stall. A member of a gang that
   * has done its part waits for the others, because the members end together.
   */
  boolean isStalled() {
    long expectedMillis = unit().step().estimateMillis() * STALL_PERCENT / FULL_PERCENT;
    boolean waitsForGang = unit().isGang() && percent >= FULL_PERCENT;
    return state == State.CONFIRMED
        && !waitsForGang
        && listedMillis - progressMillis > Math.max(STALL_TIMEOUT_MILLIS, expectedMillis);
  }

  /**
   * Returns whether the worker's answer to a poll must list the member if it exists. This is not
   * the case while a start order may still arrive at the worker.
   *
   * @param pollSentMillis when the poll was sent
   * @param maximumStopMillis the maximum time that a worker takes to stop a run, in milliseconds
   */
  boolean mustBeListed(long pollSentMillis, long maximumStopMillis) {
    return switch (state) {
      case PLACED, RESOLVED -> false;
      case SENT ->
          stopAcceptedMillis != 0 && pollSentMillis > stopAcceptedMillis + maximumStopMillis;
      case UNCERTAIN -> true;
      case CONFIRMED -> pollSentMillis > confirmedMillis;
    };
  }
}
