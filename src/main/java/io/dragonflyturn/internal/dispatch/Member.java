package io.dragonflyturn.internal.dispatch;

/** One task of a run on its worker. Times are milliseconds of the steady clock; 0 for not yet. */
final class Member {
  private static final int FULL_PERCENT = 100;

  /** Progress below this says little about the time that is left. */
  private static final int MINIMUM_ESTIMATE_PERCENT = 10;

  private final ActiveRun run;
  private final WorkerSession session;
  private final String task;
  private final boolean adopted;
  private State state;
  private int startAttempts;
  private boolean stopRequested;
  private long confirmedMillis;
  private long earlierRunTimeMillis;
  private long stopAcceptedMillis;
  private int percent = -1;
  private long progressMillis;

  Member(ActiveRun run, WorkerSession session, String task, State state) {
    this.run = run;
    this.session = session;
    this.task = task;
    this.state = state;
    this.adopted = state == State.UNCERTAIN;
  }

  /** How much is known of a member. */
  enum State {
    /** The start has not been sent. */
    PLACED,
    /** The start was sent and not answered. */
    SENT,
    /** An earlier leader placed it; it is not known whether it runs. */
    UNCERTAIN,
    /** The worker has taken the start, or lists the run. */
    CONFIRMED,
    /** The run is known to have ended, or never to start. */
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
    state = State.RESOLVED;
  }

  void markSent() {
    state = State.SENT;
    startAttempts++;
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
    progressMillis = nowMillis;
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

  /** Takes progress that the worker lists. */
  void updateProgress(int newPercent, long nowMillis) {
    boolean isFirst = percent < 0;
    if (isFirst && adopted) {
      earlierRunTimeMillis = unit().step().estimateMillis() * newPercent / FULL_PERCENT;
    }
    if (newPercent != percent) {
      percent = newPercent;
      progressMillis = nowMillis;
    }
  }

  int percent() {
    return percent;
  }

  /**
   * Returns how long the member has run, in milliseconds; what it ran under an earlier leader is
   * judged by the progress that it had when this one took over.
   */
  long runTimeMillis(long nowMillis) {
    return confirmedMillis == 0 ? 0 : earlierRunTimeMillis + nowMillis - confirmedMillis;
  }

  /**
   * Returns how long the member will still run, judged by its progress or else by the caller's
   * estimate, in milliseconds.
   */
  long remainingMillis(long nowMillis) {
    if (percent >= MINIMUM_ESTIMATE_PERCENT) {
      return runTimeMillis(nowMillis) * (FULL_PERCENT - percent) / percent;
    }
    return Math.max(0, unit().step().estimateMillis() - runTimeMillis(nowMillis));
  }

  /** Returns how long the worker has listed no progress, in milliseconds. */
  long stalledMillis(long nowMillis) {
    return state == State.CONFIRMED ? nowMillis - progressMillis : 0;
  }

  /**
   * Says whether a list that was asked for at a time must hold the run if it exists: not while a
   * start may still arrive.
   *
   * @param maximumStopMillis how long a stop takes at most
   */
  boolean mustBeListed(long askedMillis, long maximumStopMillis) {
    return switch (state) {
      case PLACED, RESOLVED -> false;
      case SENT -> stopAcceptedMillis != 0 && askedMillis > stopAcceptedMillis + maximumStopMillis;
      case UNCERTAIN -> true;
      case CONFIRMED -> askedMillis > confirmedMillis;
    };
  }
}
