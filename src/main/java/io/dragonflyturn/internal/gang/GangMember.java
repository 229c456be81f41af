package io.dragonflyturn.internal.gang;

import io.dragonflyturn.internal.gang.WorkerReport.TaskReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskState;
import io.dragonflyturn.model.MemberPlacement;
import org.jspecify.annotations.Nullable;

/** The state of one gang member, as last reported by its worker. Not thread-safe. */
final class GangMember {
  /** Half of the minimum, so that the time since then does not overflow. */
  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final MemberPlacement placement;
  private final MemberLease lease;
  private @Nullable TaskReport report;
  private @Nullable WorkerCommand pendingCommand;
  private @Nullable WorkerCommand lastSent;
  private boolean answered;
  private boolean unknownToWorker;
  private boolean extensionDue;
  private long lastSentMillis = NEVER_MILLIS;
  private long lastAnswerMillis;

  GangMember(MemberPlacement placement, GangTimings timings, long nowMillis) {
    this.placement = placement;
    lease = new MemberLease(timings.messageLifetimeMillis());
    lastAnswerMillis = nowMillis;
  }

  MemberLease lease() {
    return lease;
  }

  int index() {
    return placement.member();
  }

  String worker() {
    return placement.worker();
  }

  MemberPlacement placement() {
    return placement;
  }

  @Nullable TaskReport report() {
    return report;
  }

  /** Returns the last state that the worker reported; {@code null} if there is none. */
  @Nullable TaskState state() {
    return report == null ? null : report.state();
  }

  boolean is(TaskState state) {
    return state() == state;
  }

  /** Returns whether the member is running or has completed its work. */
  boolean isRunningOrCompleted() {
    return is(TaskState.RUNNING) || is(TaskState.COMPLETED);
  }

  /** Returns whether the worker reported that the member no longer holds resources. */
  boolean hasReportedEnd() {
    return unknownToWorker || (report != null && !is(TaskState.RESERVED) && !is(TaskState.RUNNING));
  }

  /** Returns whether the member holds no resources, by report or because all leases expired. */
  boolean definitelyEnded(long nowMillis) {
    return hasReportedEnd() || lease.definitelyExpired(nowMillis);
  }

  /** Returns whether the worker has answered at least once. */
  boolean hasAnswered() {
    return answered;
  }

  /** Returns whether the worker does not know the member, although it did before or should. */
  boolean unknownToWorker() {
    return unknownToWorker;
  }

  void recordSent(WorkerCommand command, long nowMillis) {
    pendingCommand = command;
    lastSent = command;
    lastSentMillis = nowMillis;
    switch (command) {
      case WorkerCommand.Reserve reserve -> lease.recordSent(reserve.leaseMillis(), nowMillis);
      case WorkerCommand.Run run -> lease.recordSent(run.leaseMillis(), nowMillis);
      case WorkerCommand.Extend extend -> {
        lease.recordSent(extend.leaseMillis(), nowMillis);
        extensionDue = false;
      }
      case WorkerCommand.Stop stop -> {}
      case WorkerCommand.Forget forget -> {}
    }
  }

  /**
   * Records the worker's answer.
   *
   * @param newReport the state of the member; {@code null} if the worker does not know it
   * @param expectKnown whether the worker should know the member
   * @param nowMillis the current time in milliseconds
   */
  void recordReport(@Nullable TaskReport newReport, boolean expectKnown, long nowMillis) {
    lastAnswerMillis = nowMillis;
    answered = true;
    if (carriesLease(pendingCommand) && !isReservationOfRunningMember(newReport)) {
      lease.recordAnswer(nowMillis);
    }
    pendingCommand = null;
    if (newReport != null) {
      report = newReport;
    } else if (report != null || expectKnown) {
      unknownToWorker = true;
    }
  }

  void recordNoAnswer(boolean maybeDelivered) {
    if (!maybeDelivered && carriesLease(pendingCommand)) {
      lease.recordNotSent();
    }
    pendingCommand = null;
  }

  void requestExtension() {
    extensionDue = true;
  }

  boolean extensionDue() {
    return extensionDue;
  }

  /** Returns whether a command is of a new type or its retry interval has passed. */
  boolean isDue(WorkerCommand command, long retryIntervalMillis, long nowMillis) {
    boolean sameType = lastSent != null && lastSent.getClass() == command.getClass();
    return !sameType || nowMillis - lastSentMillis >= retryIntervalMillis;
  }

  boolean isUnresponsive(long timeoutMillis, long nowMillis) {
    return nowMillis - lastAnswerMillis > timeoutMillis;
  }

  /**
   * Returns whether a reservation found the member running, started by an earlier leader. Such a
   * reservation does not change the lease, so its answer must not shorten the expected expiry.
   */
  private boolean isReservationOfRunningMember(@Nullable TaskReport newReport) {
    return pendingCommand instanceof WorkerCommand.Reserve
        && newReport != null
        && newReport.state() == TaskState.RUNNING;
  }

  private static boolean carriesLease(@Nullable WorkerCommand command) {
    return switch (command) {
      case null -> false;
      case WorkerCommand.Reserve reserve -> true;
      case WorkerCommand.Run run -> true;
      case WorkerCommand.Extend extend -> true;
      case WorkerCommand.Stop stop -> false;
      case WorkerCommand.Forget forget -> false;
    };
  }
}
