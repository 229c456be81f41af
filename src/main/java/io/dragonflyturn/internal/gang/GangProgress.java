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
 * One attempt of a gang, from its reservations to its end: a state machine without input and output
 * of its own. Not thread-safe.
 */
final class GangProgress {
  private static final long REPEAT_END_MILLIS = 1_000;

  private final PlacedGang gang;
  private final GangTimings timings;
  private final List<GangMember> members;
  private final long settledMillis;
  private GangStage stage;
  private long lastEndSignalMillis = Long.MIN_VALUE / 2;

  /**
   * Creates the state machine of an attempt.
   *
   * @param adopted whether an earlier leader may have sent commands for this attempt
   */
  GangProgress(PlacedGang gang, GangTimings timings, boolean adopted, long nowMillis) {
    this.gang = gang;
    this.timings = timings;
    members =
        gang.placements().stream()
            .map(placement -> new GangMember(placement, timings, nowMillis))
            .toList();
    settledMillis = adopted ? nowMillis + timings.messageLifetime() : nowMillis;
    if (adopted) {
      members.forEach(member -> member.lease().adopt(nowMillis + timings.adoption()));
    }
    stage =
        switch (gang.phase()) {
          case RESERVED ->
              adopted ? new GangStage.Adopting(nowMillis) : new GangStage.Reserving(nowMillis);
          case RUNNING -> new GangStage.Running(nowMillis);
          case STOPPING -> new GangStage.Stopping(GangOutcome.STOPPED, nowMillis);
        };
  }

  PlacedGang gang() {
    return gang;
  }

  GangStage stage() {
    return stage;
  }

  List<GangMember> members() {
    return members;
  }

  /** Asks the attempt to stop; an attempt that is stopping or has ended is left as it is. */
  void requestStop(long nowMillis) {
    if (!(stage instanceof GangStage.Stopping) && !(stage instanceof GangStage.Ended)) {
      stage = new GangStage.Stopping(GangOutcome.STOPPED, nowMillis);
    }
  }

  /**
   * Returns the command that a member's worker should get now; null where there is none.
   *
   * @param mayStart whether the control state is fresh and lets the job start
   */
  @Nullable WorkerCommand command(GangMember member, BooleanSupplier mayStart, long nowMillis) {
    WorkerCommand wanted =
        switch (stage) {
          case GangStage.Adopting adopting -> null;
          case GangStage.Reserving reserving -> reservation(member);
          case GangStage.Starting starting ->
              member.is(TaskState.RESERVED) && mayStart.getAsBoolean() ? run(member) : null;
          case GangStage.Running running -> member.extensionDue() ? extension(member) : null;
          case GangStage.Stopping stopping -> member.surelyEnded(nowMillis) ? null : stop(member);
          case GangStage.Ended ended -> null;
        };
    boolean due = wanted != null && member.due(wanted, timings.retry(), nowMillis);
    return due ? wanted : null;
  }

  /** Returns the extension of a member's run lease where it runs in a whole gang, or null. */
  @Nullable WorkerCommand renewal(GangMember member) {
    boolean wanted = stage instanceof GangStage.Running && member.is(TaskState.RUNNING);
    return wanted ? extension(member) : null;
  }

  /** Takes a worker's answer about a member; null where the worker does not know it. */
  void heard(GangMember member, @Nullable TaskReport report, long nowMillis) {
    boolean expected = stage instanceof GangStage.Running || stage instanceof GangStage.Stopping;
    member.heard(report, expected, nowMillis);
  }

  /** Takes the next step where one is due, and returns what it brings to light. */
  List<GangSignal> advance(BooleanSupplier mayStart, long nowMillis) {
    List<GangSignal> signals = new ArrayList<>();
    GangStage before;
    do {
      before = stage;
      step(mayStart, nowMillis, signals);
    } while (before != stage);
    return signals;
  }

  private void step(BooleanSupplier mayStart, long nowMillis, List<GangSignal> signals) {
    switch (stage) {
      case GangStage.Adopting adopting -> awaitReports(adopting, nowMillis, signals);
      case GangStage.Reserving reserving ->
          awaitReservations(reserving, mayStart, nowMillis, signals);
      case GangStage.Starting starting -> awaitStart(starting, nowMillis, signals);
      case GangStage.Running running -> watch(nowMillis, signals);
      case GangStage.Stopping stopping -> awaitEnd(stopping, nowMillis);
      case GangStage.Ended ended -> signalEnd(ended, nowMillis, signals);
    }
  }

  /**
   * Goes on with an adopted attempt only where no member has to start again beside one that has
   * run: a worker that restarted knows neither its member nor the earlier leader's fence.
   */
  private void awaitReports(GangStage.Adopting adopting, long nowMillis, List<GangSignal> signals) {
    if (stopWhereEnded(StopReason.START_TIMEOUT, nowMillis, signals)) {
      return;
    }
    boolean anyRan = members.stream().anyMatch(GangProgress::runs);
    Predicate<GangMember> unknown = each -> each.hasAnswered() && each.report() == null;
    if (anyRan && members.stream().anyMatch(unknown)) {
      stopBecause(StopReason.MEMBER_LOST, unknown, nowMillis, signals);
    } else if (members.stream().allMatch(GangMember::hasAnswered)) {
      stage = new GangStage.Reserving(nowMillis);
    } else if (nowMillis - adopting.sinceMillis() > timings.startTimeout()) {
      stopBecause(StopReason.START_TIMEOUT, each -> !each.hasAnswered(), nowMillis, signals);
    }
  }

  private void awaitReservations(
      GangStage.Reserving reserving,
      BooleanSupplier mayStart,
      long nowMillis,
      List<GangSignal> signals) {
    if (stopWhereEnded(StopReason.START_TIMEOUT, nowMillis, signals)) {
      return;
    }
    boolean all = members.stream().allMatch(each -> each.is(TaskState.RESERVED) || runs(each));
    if (all && mayStart.getAsBoolean()) {
      stage = new GangStage.Starting(nowMillis);
    } else if (nowMillis - reserving.sinceMillis() > timings.startTimeout()) {
      stopBecause(StopReason.START_TIMEOUT, each -> !reserved(each), nowMillis, signals);
    }
  }

  private void awaitStart(GangStage.Starting starting, long nowMillis, List<GangSignal> signals) {
    if (stopWhereEnded(StopReason.START_TIMEOUT, nowMillis, signals)) {
      return;
    }
    long elapsed = nowMillis - starting.sinceMillis();
    boolean late = elapsed > timings.firstRunLeaseMillis() - timings.extensionMargin();
    if (late) {
      stopBecause(StopReason.START_TIMEOUT, each -> !runs(each), nowMillis, signals);
    } else if (members.stream().allMatch(GangProgress::runs)) {
      stage = new GangStage.Running(nowMillis);
      members.stream()
          .filter(each -> each.is(TaskState.RUNNING))
          .forEach(GangMember::demandExtension);
      signals.add(new GangSignal.Started());
    }
  }

  private void watch(long nowMillis, List<GangSignal> signals) {
    if (members.stream().allMatch(each -> each.is(TaskState.COMPLETED))) {
      stage = new GangStage.Ended(GangOutcome.COMPLETED);
      return;
    }
    if (stopWhereEnded(StopReason.MEMBER_LOST, nowMillis, signals)) {
      return;
    }
    Predicate<GangMember> silent =
        each -> !each.is(TaskState.COMPLETED) && each.silent(timings.memberSilence(), nowMillis);
    if (members.stream().anyMatch(silent)) {
      stopBecause(StopReason.MEMBER_LOST, silent, nowMillis, signals);
    }
  }

  /** Stops the attempt where a member failed or ended before its work was complete. */
  private boolean stopWhereEnded(StopReason reason, long nowMillis, List<GangSignal> signals) {
    if (members.stream().anyMatch(each -> each.is(TaskState.FAILED))) {
      stage = new GangStage.Stopping(GangOutcome.FAILED, nowMillis);
      return true;
    }
    Predicate<GangMember> ended = each -> each.endedByReport() && !each.is(TaskState.COMPLETED);
    if (members.stream().anyMatch(ended)) {
      stopBecause(reason, ended, nowMillis, signals);
      return true;
    }
    return false;
  }

  private void stopBecause(
      StopReason reason, Predicate<GangMember> guilty, long nowMillis, List<GangSignal> signals) {
    members.stream()
        .filter(guilty)
        .forEach(each -> signals.add(new GangSignal.MemberLost(each.worker(), reason)));
    stage = new GangStage.Stopping(GangOutcome.STOPPED, nowMillis);
  }

  private void awaitEnd(GangStage.Stopping stopping, long nowMillis) {
    if (!members.stream().allMatch(each -> each.surelyEnded(nowMillis))) {
      return;
    }
    boolean completed = members.stream().allMatch(each -> each.is(TaskState.COMPLETED));
    boolean failed = members.stream().anyMatch(each -> each.is(TaskState.FAILED));
    GangOutcome outcome = failed ? GangOutcome.FAILED : stopping.outcome();
    stage = new GangStage.Ended(completed ? GangOutcome.COMPLETED : outcome);
  }

  /**
   * Reports the end. An adopted attempt keeps its places until the earlier leader knows that it is
   * deposed and its last messages have arrived: a worker that restarts forgets its fence, and would
   * run the attempt for the earlier leader once more.
   */
  private void signalEnd(GangStage.Ended ended, long nowMillis, List<GangSignal> signals) {
    boolean repeated = nowMillis - lastEndSignalMillis < REPEAT_END_MILLIS;
    if (repeated || nowMillis < settledMillis) {
      return;
    }
    lastEndSignalMillis = nowMillis;
    List<String> failedWorkers =
        members.stream()
            .filter(each -> each.is(TaskState.FAILED))
            .map(GangMember::worker)
            .distinct()
            .toList();
    signals.add(new GangSignal.Ended(ended.outcome(), keptSeconds(ended.outcome()), failedWorkers));
  }

  /** The last checkpoint that all members have in common, or all work where it is complete. */
  private double keptSeconds(GangOutcome outcome) {
    double kept = Double.MAX_VALUE;
    for (GangMember member : members) {
      TaskReport report = member.report();
      if (report == null) {
        kept = Math.min(kept, gang.completedSeconds());
      } else if (outcome == GangOutcome.COMPLETED) {
        kept = Math.min(kept, report.completedSeconds());
      } else {
        kept = Math.min(kept, report.checkpointSeconds());
      }
    }
    return Math.max(kept, gang.completedSeconds());
  }

  private static boolean runs(GangMember member) {
    return member.runsOrCompleted();
  }

  private static boolean reserved(GangMember member) {
    return member.is(TaskState.RESERVED) || member.runsOrCompleted();
  }

  private @Nullable WorkerCommand reservation(GangMember member) {
    if (runs(member)) {
      return null;
    }
    return new WorkerCommand.Reserve(
        gang.job().id(),
        gang.attempt(),
        member.index(),
        member.placement().accelerators(),
        timings.reservationLease());
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
        gang.job().id(), gang.attempt(), member.index(), timings.runLease());
  }

  private WorkerCommand stop(GangMember member) {
    return new WorkerCommand.Stop(
        gang.job().id(), gang.attempt(), member.index(), gang.job().checkpointable());
  }
}
