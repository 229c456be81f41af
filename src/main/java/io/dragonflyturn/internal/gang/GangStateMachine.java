package io.dragonflyturn.internal.gang;

import io.dragonflyturn.internal.gang.WorkerReport.TaskReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskState;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The state machine of one gang attempt, from its reservations to its end. It performs no I/O: it
 * returns the commands to send and the events to report. Not thread-safe.
 */
final class GangStateMachine {
  private static final long END_EVENT_INTERVAL_MILLIS = 1_000;

  private final PlacedGang gang;
  private final GangTimings timings;
  private final List<GangMember> members;
  private final long earliestEndMillis;
  private GangStage stage;
  private long lastEndEventMillis = Long.MIN_VALUE / 2;

  /**
   * Creates the state machine of an attempt.
   *
   * @param gang the attempt
   * @param timings the leases and timeouts
   * @param adopted whether an earlier leader may have sent commands for this attempt
   * @param nowMillis the current time in milliseconds
   */
  GangStateMachine(PlacedGang gang, GangTimings timings, boolean adopted, long nowMillis) {
    this.gang = gang;
    this.timings = timings;
    members =
        gang.placements().stream()
            .map(placement -> new GangMember(placement, timings, nowMillis))
            .toList();
    earliestEndMillis = adopted ? nowMillis + timings.messageLifetimeMillis() : nowMillis;
    if (adopted) {
      members.forEach(member -> member.lease().adopt(nowMillis + timings.adoptedLeaseMillis()));
    }
    stage =
        switch (gang.phase()) {
          case RESERVED ->
              adopted ? new GangStage.Adopting(nowMillis) : new GangStage.Reserving(nowMillis);
          case RUNNING -> new GangStage.Running(nowMillis);
          case STOPPING -> new GangStage.Stopping(GangOutcome.STOPPED, nowMillis);
        };
  }

  PlacedGang placedGang() {
    return gang;
  }

  GangStage stage() {
    return stage;
  }

  List<GangMember> members() {
    return members;
  }

  /** Requests a stop of the attempt. Has no effect if it is already stopping or has ended. */
  void requestStop(long nowMillis) {
    if (!(stage instanceof GangStage.Stopping) && !(stage instanceof GangStage.Ended)) {
      stage = new GangStage.Stopping(GangOutcome.STOPPED, nowMillis);
    }
  }

  /**
   * Returns the command that is due for a member; {@code null} if there is none.
   *
   * @param member the member
   * @param mayStart whether the control state is fresh and the job may start on its workers
   * @param nowMillis the current time in milliseconds
   */
  @Nullable WorkerCommand command(GangMember member, BooleanSupplier mayStart, long nowMillis) {
    WorkerCommand nextCommand =
        switch (stage) {
          case GangStage.Adopting adopting -> null;
          case GangStage.Reserving reserving -> reservation(member);
          case GangStage.Starting starting ->
              member.is(TaskState.RESERVED) && mayStart.getAsBoolean() ? run(member) : null;
          case GangStage.Running running -> member.extensionDue() ? extension(member) : null;
          case GangStage.Stopping stopping ->
              member.definitelyEnded(nowMillis) ? null : stop(member);
          case GangStage.Ended ended -> null;
        };
    boolean isDue =
        nextCommand != null && member.isDue(nextCommand, timings.retryIntervalMillis(), nowMillis);
    return isDue ? nextCommand : null;
  }

  /**
   * Returns a command that extends the run lease of a member; {@code null} if the member does not
   * run or the gang is not in the running stage.
   */
  @Nullable WorkerCommand renewal(GangMember member) {
    boolean renewable = stage instanceof GangStage.Running && member.is(TaskState.RUNNING);
    return renewable ? extension(member) : null;
  }

  /** Records a worker's report on a member; {@code null} if the worker does not know the member. */
  void recordReport(GangMember member, @Nullable TaskReport report, long nowMillis) {
    boolean expectKnown = stage instanceof GangStage.Running || stage instanceof GangStage.Stopping;
    member.recordReport(report, expectKnown, nowMillis);
  }

  /** Performs all stage transitions that are due, and returns the resulting events. */
  List<GangEvent> advance(BooleanSupplier mayStart, long nowMillis) {
    List<GangEvent> events = new ArrayList<>();
    GangStage previous;
    do {
      previous = stage;
      step(mayStart, nowMillis, events);
    } while (previous != stage);
    return events;
  }

  private void step(BooleanSupplier mayStart, long nowMillis, List<GangEvent> events) {
    switch (stage) {
      case GangStage.Adopting adopting -> awaitReports(adopting, nowMillis, events);
      case GangStage.Reserving reserving ->
          awaitReservations(reserving, mayStart, nowMillis, events);
      case GangStage.Starting starting -> awaitStart(starting, nowMillis, events);
      case GangStage.Running running -> awaitCompletion(nowMillis, events);
      case GangStage.Stopping stopping -> awaitEnd(stopping, nowMillis);
      case GangStage.Ended ended -> emitEnd(ended, nowMillis, events);
    }
  }

  /**
   * Resumes an adopted attempt only if no member would have to start again while others have
   * already run. A worker that restarted knows neither its member nor the fence of the earlier
   * leader, so the member may already have run.
   */
  private void awaitReports(GangStage.Adopting adopting, long nowMillis, List<GangEvent> events) {
    if (stopIfAnyEnded(StopReason.START_TIMEOUT, nowMillis, events)) {
      return;
    }
    boolean anyStarted = members.stream().anyMatch(GangStateMachine::isRunningOrCompleted);
    Predicate<GangMember> unknownToWorker = each -> each.hasAnswered() && each.report() == null;
    if (anyStarted && members.stream().anyMatch(unknownToWorker)) {
      stopForLostMembers(StopReason.MEMBER_LOST, unknownToWorker, nowMillis, events);
    } else if (members.stream().allMatch(GangMember::hasAnswered)) {
      stage = new GangStage.Reserving(nowMillis);
    } else if (nowMillis - adopting.sinceMillis() > timings.startTimeoutMillis()) {
      stopForLostMembers(StopReason.START_TIMEOUT, each -> !each.hasAnswered(), nowMillis, events);
    }
  }

  private void awaitReservations(
      GangStage.Reserving reserving,
      BooleanSupplier mayStart,
      long nowMillis,
      List<GangEvent> events) {
    if (stopIfAnyEnded(StopReason.START_TIMEOUT, nowMillis, events)) {
      return;
    }
    boolean allReserved =
        members.stream()
            .allMatch(each -> each.is(TaskState.RESERVED) || isRunningOrCompleted(each));
    if (allReserved && mayStart.getAsBoolean()) {
      stage = new GangStage.Starting(nowMillis);
    } else if (nowMillis - reserving.sinceMillis() > timings.startTimeoutMillis()) {
      stopForLostMembers(
          StopReason.START_TIMEOUT, each -> !isReservedOrStarted(each), nowMillis, events);
    }
  }

  private void awaitStart(GangStage.Starting starting, long nowMillis, List<GangEvent> events) {
    if (stopIfAnyEnded(StopReason.START_TIMEOUT, nowMillis, events)) {
      return;
    }
    long elapsedMillis = nowMillis - starting.sinceMillis();
    boolean timedOut =
        elapsedMillis > timings.firstRunLeaseMillis() - timings.extensionMarginMillis();
    if (timedOut) {
      stopForLostMembers(
          StopReason.START_TIMEOUT, each -> !isRunningOrCompleted(each), nowMillis, events);
    } else if (members.stream().allMatch(GangStateMachine::isRunningOrCompleted)) {
      stage = new GangStage.Running(nowMillis);
      members.stream()
          .filter(each -> each.is(TaskState.RUNNING))
          .forEach(GangMember::requestExtension);
      events.add(new GangEvent.Started());
    }
  }

  private void awaitCompletion(long nowMillis, List<GangEvent> events) {
    if (members.stream().allMatch(each -> each.is(TaskState.COMPLETED))) {
      stage = new GangStage.Ended(GangOutcome.COMPLETED);
      return;
    }
    if (stopIfAnyEnded(StopReason.MEMBER_LOST, nowMillis, events)) {
      return;
    }
    Predicate<GangMember> unresponsive =
        each ->
            !each.is(TaskState.COMPLETED)
                && each.isUnresponsive(timings.memberTimeoutMillis(), nowMillis);
    if (members.stream().anyMatch(unresponsive)) {
      stopForLostMembers(StopReason.MEMBER_LOST, unresponsive, nowMillis, events);
    }
  }

  /** Stops the attempt if a member failed or ended before it completed its work. */
  private boolean stopIfAnyEnded(StopReason reason, long nowMillis, List<GangEvent> events) {
    if (members.stream().anyMatch(each -> each.is(TaskState.FAILED))) {
      stage = new GangStage.Stopping(GangOutcome.FAILED, nowMillis);
      return true;
    }
    Predicate<GangMember> ended = each -> each.hasReportedEnd() && !each.is(TaskState.COMPLETED);
    if (members.stream().anyMatch(ended)) {
      stopForLostMembers(reason, ended, nowMillis, events);
      return true;
    }
    return false;
  }

  private void stopForLostMembers(
      StopReason reason, Predicate<GangMember> lost, long nowMillis, List<GangEvent> events) {
    members.stream()
        .filter(lost)
        .forEach(each -> events.add(new GangEvent.MemberLost(each.worker(), reason)));
    stage = new GangStage.Stopping(GangOutcome.STOPPED, nowMillis);
  }

  private void awaitEnd(GangStage.Stopping stopping, long nowMillis) {
    if (!members.stream().allMatch(each -> each.definitelyEnded(nowMillis))) {
      return;
    }
    boolean completed = members.stream().allMatch(each -> each.is(TaskState.COMPLETED));
    boolean failed = members.stream().anyMatch(each -> each.is(TaskState.FAILED));
    GangOutcome outcome = failed ? GangOutcome.FAILED : stopping.outcome();
    stage = new GangStage.Ended(completed ? GangOutcome.COMPLETED : outcome);
  }

  /**
   * Emits the end event. An adopted attempt holds its resources until the earlier leader has
   * stopped sending commands and its last messages have arrived: a worker that restarts loses its
   * fence, and would run the attempt again for the earlier leader.
   */
  private void emitEnd(GangStage.Ended ended, long nowMillis, List<GangEvent> events) {
    boolean recentlyEmitted = nowMillis - lastEndEventMillis < END_EVENT_INTERVAL_MILLIS;
    if (recentlyEmitted || nowMillis < earliestEndMillis) {
      return;
    }
    lastEndEventMillis = nowMillis;
    List<String> failedWorkers =
        members.stream()
            .filter(each -> each.is(TaskState.FAILED))
            .map(GangMember::worker)
            .distinct()
            .toList();
    events.add(
        new GangEvent.Ended(ended.outcome(), preservedSeconds(ended.outcome()), failedWorkers));
  }

  /**
   * Returns the work that is preserved, in seconds: all work if the attempt completed, otherwise
   * the minimum of the last checkpoints of all members.
   */
  private double preservedSeconds(GangOutcome outcome) {
    double minimumSeconds = Double.MAX_VALUE;
    for (GangMember member : members) {
      TaskReport report = member.report();
      if (report == null) {
        minimumSeconds = Math.min(minimumSeconds, gang.completedSeconds());
      } else if (outcome == GangOutcome.COMPLETED) {
        minimumSeconds = Math.min(minimumSeconds, report.completedSeconds());
      } else {
        minimumSeconds = Math.min(minimumSeconds, report.checkpointSeconds());
      }
    }
    return Math.max(minimumSeconds, gang.completedSeconds());
  }

  private static boolean isRunningOrCompleted(GangMember member) {
    return member.isRunningOrCompleted();
  }

  private static boolean isReservedOrStarted(GangMember member) {
    return member.is(TaskState.RESERVED) || member.isRunningOrCompleted();
  }

  private @Nullable WorkerCommand reservation(GangMember member) {
    if (isRunningOrCompleted(member)) {
      return null;
    }
    return new WorkerCommand.Reserve(
        gang.job().id(),
        gang.attempt(),
        member.index(),
        member.placement().accelerators(),
        timings.reservationLeaseMillis());
  }

  private WorkerCommand run(GangMember member) {
    return new WorkerCommand.Run(
        gang.job().id(),
        gang.attempt(),
        member.index(),
        timings.firstRunLeaseMillis(),
        gang.completedSeconds(),
        gang.job().checkpointable(),
        gang.job().labels());
  }

  private WorkerCommand extension(GangMember member) {
    return new WorkerCommand.Extend(
        gang.job().id(), gang.attempt(), member.index(), timings.runLeaseMillis());
  }

  private WorkerCommand stop(GangMember member) {
    return new WorkerCommand.Stop(
        gang.job().id(), gang.attempt(), member.index(), gang.job().checkpointable());
  }
}
