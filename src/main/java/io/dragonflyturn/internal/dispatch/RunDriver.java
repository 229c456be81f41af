package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Starts runs on workers, and has them stopped. It stores each placement before it sends a start
 * order, repeats orders until their effect is known, and stores the ends of runs.
 *
 * <p>A run is over only when every member is resolved: known to have ended, or certain never to
 * start. Until then, the unit is not placed elsewhere, and its resources stay allocated.
 */
final class RunDriver {
  private final DispatchContext context;
  private final SequencedWriter writer;
  private final WorkerHealth health;
  private final PaceObserver paces;
  private final Listener listener;
  private final StartOrders startOrders;
  private final StopOrders stopOrders;
  private final RunEvents events;
  private final CustomerQuota quota;
  private CompletableFuture<WriteResult> lastWrite =
      CompletableFuture.completedFuture(WriteResult.STORED);
  private boolean closed;

  RunDriver(
      DispatchContext context,
      long term,
      LeadershipLease leadershipLease,
      SequencedWriter writer,
      WorkerHealth health,
      PaceObserver paces,
      Listener listener) {
    this.context = context;
    this.writer = writer;
    this.health = health;
    this.paces = paces;
    this.listener = listener;
    this.events = new RunEvents(context.events(), term);
    this.quota = new CustomerQuota(context.customers());
    OrderQueue orders = new OrderQueue(context);
    this.stopOrders = new StopOrders(context, orders, events, this, listener);
    this.startOrders =
        new StartOrders(
            context, leadershipLease, orders, stopOrders, health, events, this, listener);
  }

  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns what the runs of each customer use. */
  CustomerQuota quota() {
    return quota;
  }

  /**
   * Places a unit on workers, one for each task, and starts its members once the placement is
   * stored. A unit whose placement is too long to be stored is never started.
   */
  void start(WorkUnit unit, List<WorkerSession> sessions) {
    context.metrics().waitMillis().update(context.nowMillis() - unit.readySinceMillis());
    ActiveRun run = place(unit, unit.lastRunNumber() + 1, sessions, State.PLACED);
    KeyedRecord placement = record(unit);
    if (!writer.limits().accepts(placement, unit.maximumRecordGrowthBytes())) {
      withdraw(run);
      listener.unitInfeasible(unit, "placement-too-long");
      return;
    }
    lastWrite = writer.write(placement).thenApply(result -> placementWritten(run, result));
    whenStored(() -> run.members().forEach(startOrders::send));
  }

  /**
   * Withdraws a placement that the store did not accept. Nothing of it is left to be stored, so
   * this counts as stored for what is written later.
   */
  private WriteResult placementWritten(ActiveRun run, WriteResult result) {
    if (result != WriteResult.INVALID) {
      return result;
    }
    run.unit().postpone(context.nowMillis());
    withdraw(run);
    return WriteResult.STORED;
  }

  /** Ends a run of which no start order has been sent. */
  private void withdraw(ActiveRun run) {
    run.members().forEach(this::release);
    endIfResolved(run);
  }

  private void release(Member member) {
    if (!member.isResolved()) {
      member.resolve();
      quota.memberResolved(member);
    }
    member.session().remove(member);
  }

  /**
   * Adopts a run that an earlier leader placed. A failure that this leader has counted is not
   * counted again when the worker lists it once more.
   */
  void adopt(WorkUnit unit, RunRecord stored, List<WorkerSession> sessions) {
    ActiveRun run = place(unit, unit.lastRunNumber(), sessions, State.UNCERTAIN);
    quota.runOrdered(run);
    if (stored.phase() == RunRecord.Phase.FAILING) {
      run.markFailed();
    }
  }

  private ActiveRun place(WorkUnit unit, int runNumber, List<WorkerSession> sessions, State state) {
    ActiveRun run = new ActiveRun(unit, runNumber);
    for (int index = 0; index < sessions.size(); index++) {
      WorkerSession session = sessions.get(index);
      Member member = new Member(run, session, unit.taskName(index), state);
      run.add(member);
      session.add(member);
    }
    unit.beginRun(run);
    quota.runPlaced(run);
    return run;
  }

  /**
   * Stops a run. Its members are resolved when their ends are known.
   *
   * @param cause the reason, for the event log
   */
  void abort(ActiveRun run, String cause) {
    if (!run.markAborting()) {
      return;
    }
    events.runStopped(run, cause);
    context.metrics().runsStopped().inc();
    context
        .metrics()
        .displacement()
        .countThrownAway(cause, run.thrownAwayCoreMillis(context.nowMillis()));
    List.copyOf(run.members()).forEach(stopOrders::request);
  }

  /**
   * Processes that a worker has started again: whether it runs its members is unknown, and it knows
   * of no stop.
   *
   * @param learnedFrom what told so, for the event log
   * @param incarnationBefore the incarnation of the life before
   */
  void workerRestarted(WorkerSession session, String learnedFrom, long incarnationBefore) {
    events.workerRestarted(session, learnedFrom, incarnationBefore);
    for (Member member : List.copyOf(session.members())) {
      member.workerRestarted(context.nowMillis());
      stopOrders.repeat(member);
    }
    listener.workerRestarted(session);
  }

  /**
   * Runs an action once everything written so far is stored. The action is dropped if the last
   * write is not stored or this driver is closed.
   */
  void whenStored(Runnable action) {
    lastWrite.thenAccept(
        result -> {
          if (result == WriteResult.STORED && !closed) {
            action.run();
          }
        });
  }

  /** Writes the record of a unit, and runs an action once it is stored. */
  void store(WorkUnit unit, Runnable whenStored) {
    lastWrite = writer.write(record(unit)).thenApply(this::endTermIfNotAccepted);
    whenStored(whenStored);
  }

  private static KeyedRecord record(WorkUnit unit) {
    return new KeyedRecord(unit.key(), WorkloadCodec.encodeRun(unit.record()));
  }

  /**
   * Ends the term if the store does not accept the record of what has happened already. The next
   * leader begins from what is stored.
   */
  private WriteResult endTermIfNotAccepted(WriteResult result) {
    if (result == WriteResult.INVALID) {
      listener.recordNotAccepted();
    }
    return result;
  }

  /**
   * Processes the end of a member; does nothing if it is already resolved.
   *
   * @param checkpoint the latest checkpoint; empty if there is none
   */
  void resolve(Member member, EndKind kind, String checkpoint) {
    if (member.isResolved()) {
      return;
    }
    paces.ended(member, kind);
    release(member);
    WorkUnit unit = member.unit();
    ActiveRun run = member.run();
    unit.updateCheckpoint(checkpoint);
    events.memberEnded(member, kind);
    if (unit.isDone()) {
      endIfResolved(run);
      listener.resourcesChanged();
      return;
    }
    switch (kind) {
      case DONE -> handleCompletion(member);
      case FAILED -> handleFailure(member);
      default -> abortGang(run, kind);
    }
    if (endIfResolved(run) && !unit.isDone()) {
      store(unit, () -> listener.unitStopped(unit));
    }
    listener.resourcesChanged();
  }

  /** Ends a run if all its members are resolved. Returns whether it did. */
  private static boolean endIfResolved(ActiveRun run) {
    boolean over = run.isResolved() && run.unit().run() == run;
    if (over) {
      run.unit().endRun();
    }
    return over;
  }

  private void handleCompletion(Member member) {
    health.recordCompletion(member.session().id());
    WorkUnit unit = member.unit();
    if (unit.step().endless()) {
      return;
    }
    unit.markDone();
    store(unit, () -> listener.unitCompleted(unit));
  }

  /**
   * Completes a unit of which an earlier run has completed, though that run was given up. The
   * present run is stopped.
   */
  void completeByEarlierRun(WorkUnit unit) {
    if (unit.isDone() || unit.step().endless()) {
      return;
    }
    unit.markDone();
    store(unit, () -> listener.unitCompleted(unit));
    ActiveRun run = unit.run();
    if (run != null) {
      abort(run, "earlier-run-completed");
    }
  }

  private void handleFailure(Member member) {
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

  /** Stops the remaining members of a gang after one of them ended. */
  private void abortGang(ActiveRun run, EndKind kind) {
    if (!run.isResolved() && run.unit().isGang()) {
      abort(run, "member-" + kind);
    }
  }

  /** Receives notifications about runs, on the event loop. */
  interface Listener {
    /**
     * Called when a worker may have started a member, or has accepted a stop, so that it must be
     * polled.
     */
    void memberActive(Member member);

    /** Called when a worker has started again, so that it must be polled. */
    void workerRestarted(WorkerSession session);

    /**
     * Called when a worker lists that a run of a task has completed that this leader does not
     * follow any more.
     */
    void earlierRunCompleted(String task);

    /** Called when the completion of a unit is stored. */
    void unitCompleted(WorkUnit unit);

    /** Called when the failure of a run of a unit is stored. */
    void unitFailed(WorkUnit unit);

    /** Called when a run is over without completing its unit, and this is stored. */
    void unitStopped(WorkUnit unit);

    /**
     * Called when it is certain that a unit can never be started.
     *
     * @param cause the reason, for the event log
     */
    void unitInfeasible(WorkUnit unit, String cause);

    /** Called when the store does not accept a record that this leader cannot do without. */
    void recordNotAccepted();

    /** Called when resources may have become free. */
    void resourcesChanged();

    /** Called when a worker refuses an order because it has accepted orders from a later leader. */
    void fenced();
  }
}
