package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Refused;
import io.dragonflyturn.internal.fleet.OrderAnswer.Taken;
import io.dragonflyturn.internal.fleet.OrderAnswer.Unanswered;
import io.dragonflyturn.internal.fleet.StartOrder;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.logging.LoggedCallback;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Carries out runs: records a placement before any start is sent, gives orders until their effect
 * is known, and records ends.
 *
 * <p>A run is over only when each member is known to have ended or never to start; until then the
 * unit is placed nowhere else, and its room stays taken.
 */
final class RunDriver {
  private static final long START_RETRY_DELAY_MILLIS = 200;
  private static final long STOP_RETRY_DELAY_MILLIS = 300;
  private static final int MAXIMUM_START_ATTEMPTS = 3;

  private final DispatchContext context;
  private final long term;
  private final SequencedWriter writer;
  private final WorkerHealth health;
  private final Listener listener;
  private CompletableFuture<WriteResult> lastWrite =
      CompletableFuture.completedFuture(WriteResult.STORED);
  private boolean closed;

  RunDriver(
      DispatchContext context,
      long term,
      SequencedWriter writer,
      WorkerHealth health,
      Listener listener) {
    this.context = context;
    this.term = term;
    this.writer = writer;
    this.health = health;
    this.listener = listener;
  }

  void close() {
    closed = true;
  }

  /** Places a unit, and starts its members once the placement is stored. */
  void start(WorkUnit unit, List<WorkerSession> sessions) {
    context.metrics().waitMillis().update(context.nowMillis() - unit.readySinceMillis());
    ActiveRun run = place(unit, unit.lastRun() + 1, sessions, State.PLACED);
    store(unit, () -> run.members().forEach(this::sendStart));
  }

  /** Takes over a run that an earlier leader placed. */
  void adopt(WorkUnit unit, List<WorkerSession> sessions) {
    place(unit, unit.lastRun(), sessions, State.UNCERTAIN);
  }

  private static ActiveRun place(
      WorkUnit unit, int number, List<WorkerSession> sessions, State state) {
    ActiveRun run = new ActiveRun(unit, number);
    for (int index = 0; index < sessions.size(); index++) {
      WorkerSession session = sessions.get(index);
      Member member = new Member(run, session, unit.taskName(index), state);
      run.add(member);
      session.add(member);
    }
    unit.beginRun(run);
    return run;
  }

  /** Stops a run; its members resolve when their ends are known. */
  void abort(ActiveRun run, String cause) {
    if (!run.markAborting()) {
      return;
    }
    context
        .events()
        .event("run-stopped")
        .with("unit", run.unit().key())
        .with("run", run.number())
        .with("cause", cause)
        .with("term", term)
        .write();
    context.metrics().runsStopped().inc();
    List.copyOf(run.members()).forEach(this::requestStop);
  }

  /** Calls back when all that has been written so far is stored. */
  void whenStored(Runnable action) {
    lastWrite.thenAccept(
        result -> {
          if (result == WriteResult.STORED && !closed) {
            action.run();
          }
        });
  }

  /** Writes a unit's state, and calls back when it is stored. */
  void store(WorkUnit unit, Runnable whenStored) {
    lastWrite = writer.write(new KeyedRecord(unit.key(), WorkloadCodec.encodeRun(unit.record())));
    whenStored(whenStored);
  }

  /** Takes the end of a member. */
  void resolve(Member member, EndKind kind, String checkpoint) {
    if (member.isResolved()) {
      return;
    }
    member.resolve();
    member.session().remove(member);
    WorkUnit unit = member.unit();
    ActiveRun run = member.run();
    unit.updateCheckpoint(checkpoint);
    logEnd(member, kind);
    if (unit.isDone()) {
      endIfResolved(run);
      listener.resourcesChanged();
      return;
    }
    switch (kind) {
      case DONE -> complete(member);
      case FAILED -> fail(member);
      default -> abortGang(run, kind);
    }
    if (endIfResolved(run) && !unit.isDone()) {
      store(unit, () -> listener.unitStopped(unit));
    }
    listener.resourcesChanged();
  }

  private static boolean endIfResolved(ActiveRun run) {
    boolean over = run.isResolved() && run.unit().run() == run;
    if (over) {
      run.unit().endRun();
    }
    return over;
  }

  private void complete(Member member) {
    health.recordCompletion(member.session().id());
    WorkUnit unit = member.unit();
    if (unit.step().endless()) {
      return;
    }
    unit.markDone();
    store(unit, () -> listener.unitCompleted(unit));
  }

  private void fail(Member member) {
    ActiveRun run = member.run();
    WorkUnit unit = run.unit();
    unit.failedWorkers().add(member.session().id());
    health.recordFailure(member.session().id(), unit.job().id());
    if (run.markFailed()) {
      context.metrics().runsFailed().inc();
      unit.countFailure();
      store(unit, () -> listener.unitFailed(unit));
    }
    abortGang(run, EndKind.FAILED);
  }

  private void abortGang(ActiveRun run, EndKind kind) {
    if (!run.isResolved() && run.unit().isGang()) {
      abort(run, "member-" + kind);
    }
  }

  private void logEnd(Member member, EndKind kind) {
    context
        .events()
        .event("run-ended")
        .with("task", member.task())
        .with("run", member.run().number())
        .with("worker", member.session().id())
        .with("how", kind)
        .with("percent", member.percent())
        .with("term", term)
        .write();
  }

  private void sendStart(Member member) {
    if (closed || member.isResolved()) {
      return;
    }
    ActiveRun run = member.run();
    WorkUnit unit = run.unit();
    if (unit.job().isEnding()) {
      abort(run, "job-ended");
    }
    if (run.isAborting()) {
      requestStop(member);
      return;
    }
    WorkerSession session = member.session();
    member.markSent();
    context.metrics().startsOrdered().inc();
    long lease = session.grantLease(context.settings().leaseMillis(), context.nowMillis());
    StartOrder order =
        new StartOrder(
            member.task(),
            run.number(),
            unit.job().submission().specification(),
            unit.checkpoint(),
            lease,
            term);
    context
        .gateway()
        .start(session.registration(), order)
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(),
                "startAnswered",
                (answer, failure) -> startAnswered(member, answer)),
            context.loop());
  }

  private void startAnswered(Member member, OrderAnswer answer) {
    if (closed || member.isResolved()) {
      return;
    }
    switch (answer) {
      case Taken taken -> confirmStart(member, taken);
      case Refused refused -> startRefused(member, refused.reason());
      case Unanswered unanswered -> startUnanswered(member);
    }
  }

  private void confirmStart(Member member, Taken taken) {
    member.session().synchronizeClock(taken.clockMillis(), context.nowMillis());
    member.confirm(context.nowMillis());
    logStart(member, "taken");
    listener.memberActive(member);
  }

  private void startRefused(Member member, OrderAnswer.Reason reason) {
    logStart(member, reason);
    context.metrics().startsFailed().inc();
    if (reason == OrderAnswer.Reason.FENCED) {
      listener.fenced();
    } else if (reason == OrderAnswer.Reason.OLD_RUN) {
      member.confirm(context.nowMillis());
      listener.memberActive(member);
    } else {
      handleIneffectiveStart(member, reason);
    }
  }

  /** An earlier try without an answer may still arrive; only a stop that is taken rules it out. */
  private void handleIneffectiveStart(Member member, OrderAnswer.Reason reason) {
    health.recordRefusal(member.session().id());
    boolean earlierAttemptMayArrive =
        member.startAttempts() > 1 && reason != OrderAnswer.Reason.OTHER_LIFE;
    if (earlierAttemptMayArrive) {
      abort(member.run(), "start-refused-after-unanswered");
    } else {
      resolve(member, EndKind.NOT_STARTED, "");
    }
  }

  private void startUnanswered(Member member) {
    logStart(member, "unanswered");
    context.metrics().startsFailed().inc();
    listener.memberActive(member);
    if (member.state() == State.CONFIRMED) {
      return;
    }
    if (member.startAttempts() >= MAXIMUM_START_ATTEMPTS) {
      health.recordRefusal(member.session().id());
      abort(member.run(), "start-unanswered");
      return;
    }
    context.loop().schedule(() -> resendStart(member), START_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void resendStart(Member member) {
    if (member.state() == State.SENT && !member.isStopRequested()) {
      sendStart(member);
    }
  }

  private void logStart(Member member, Object outcome) {
    context
        .events()
        .event("run-start")
        .with("task", member.task())
        .with("run", member.run().number())
        .with("worker", member.session().id())
        .with("outcome", outcome)
        .with("try", member.startAttempts())
        .with("term", term)
        .write();
  }

  private void requestStop(Member member) {
    if (member.isResolved() || member.isStopRequested()) {
      return;
    }
    member.markStopRequested();
    if (member.state() == State.PLACED) {
      resolve(member, EndKind.NOT_STARTED, "");
      return;
    }
    sendStop(member);
  }

  private void sendStop(Member member) {
    if (closed || member.isResolved()) {
      return;
    }
    StopOrder order = new StopOrder(member.task(), member.run().number(), term);
    context
        .gateway()
        .stop(member.session().registration(), order)
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(),
                "stopAnswered",
                (answer, failure) -> stopAnswered(member, answer)),
            context.loop());
  }

  private void stopAnswered(Member member, OrderAnswer answer) {
    if (closed || member.isResolved()) {
      return;
    }
    if (answer instanceof Taken) {
      member.markStopAccepted(context.nowMillis());
      listener.memberActive(member);
      return;
    }
    if (answer instanceof Refused refused && stopRefused(member, refused.reason())) {
      return;
    }
    context.loop().schedule(() -> sendStop(member), STOP_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes the refusal of a stop; returns whether there is nothing left to stop. */
  private boolean stopRefused(Member member, OrderAnswer.Reason reason) {
    if (reason == OrderAnswer.Reason.FENCED) {
      listener.fenced();
      return true;
    }
    if (reason == OrderAnswer.Reason.OTHER_LIFE) {
      resolve(member, EndKind.LOST, "");
      return true;
    }
    context
        .events()
        .event("stop-refused")
        .with("task", member.task())
        .with("reason", reason)
        .write();
    return false;
  }

  /** Is told of what happens to runs, on the event loop. */
  interface Listener {
    /** A worker may run a member now, so that its session must hold it. */
    void memberActive(Member member);

    /** A unit's completion is stored. */
    void unitCompleted(WorkUnit unit);

    /** A unit's failed run is stored. */
    void unitFailed(WorkUnit unit);

    /** A unit's run is over without completion, and that is stored. */
    void unitStopped(WorkUnit unit);

    /** Room may have become free. */
    void resourcesChanged();

    /** A worker has taken orders from a later leader. */
    void fenced();
  }
}
