package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.EndedTask;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollAnswer.Listing;
import io.dragonflyturn.internal.fleet.PollAnswer.Refused;
import io.dragonflyturn.internal.fleet.PollAnswer.Unanswered;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.OrderAnswer.Reason;
import io.dragonflyturn.internal.fleet.RunningTask;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the leases of workers that run something, reads their lists, and settles what each member's
 * state is.
 *
 * <p>One waiting order is open for each worker with members; a worker without any is asked only to
 * acknowledge ends.
 */
final class SessionKeeper {
  private static final long LONGEST_WAIT_MILLIS = 2_000;
  private static final long UNRECORDED_PAUSE_MILLIS = 100;
  private static final long SILENCE_PAUSE_MILLIS = 250;
  private static final long ACKNOWLEDGEMENT_DELAY_MILLIS = 800;

  /** A worker that leaves so many orders unanswered is asked without renewing its lease. */
  private static final int SILENT_HOLDS_THAT_END_LEASE = 2;

  private static final long STALL_MILLIS = 3_500;

  private final DispatchContext context;
  private final long term;
  private final RunDriver driver;
  private final WorkerTrust trust;
  private final RunDriver.Listener listener;
  private boolean closed;

  SessionKeeper(
      DispatchContext context,
      long term,
      RunDriver driver,
      WorkerTrust trust,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
    this.driver = driver;
    this.trust = trust;
    this.listener = listener;
  }

  void close() {
    closed = true;
  }

  /** Opens the waiting order of a worker that needs one. */
  void kick(WorkerSession session) {
    if (closed || session.isHolding() || session.isKickScheduled() || !session.needsHold()) {
      return;
    }
    if (session.members().isEmpty()) {
      kickAfter(session, ACKNOWLEDGEMENT_DELAY_MILLIS);
      return;
    }
    hold(session);
  }

  /** Settles members whose lease has ended for certain, and runs without progress. */
  void tick(WorkerSession session) {
    long now = context.now();
    boolean lapsed =
        !session.members().isEmpty()
            && session.silentHolds() > 0
            && session.leaseHasEnded(now, context.settings().leaseMillis());
    if (lapsed) {
      List.copyOf(session.members()).forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    for (Member member : List.copyOf(session.members())) {
      if (member.stalledMillis(now) > STALL_MILLIS && session.silentHolds() == 0) {
        stalled(member);
      }
    }
    kick(session);
  }

  private void stalled(Member member) {
    ActiveRun run = member.run();
    boolean waitsForOthers =
        run.members().stream().anyMatch(each -> each.state() != State.CONFIRMED);
    boolean hasNoProgress = run.unit().step().endless();
    if (run.isAborting() || run.unit().isDone() || waitsForOthers || hasNoProgress) {
      return;
    }
    trust.stalled(member.session().id());
    run.unit().failedWorkers().add(member.session().id());
    driver.abort(run, "no-progress");
  }

  private void kickAfter(WorkerSession session, long delayMillis) {
    session.setKickScheduled(true);
    context
        .loop()
        .schedule(
            () -> {
              session.setKickScheduled(false);
              if (!closed && !session.isHolding() && session.needsHold()) {
                hold(session);
              }
            },
            delayMillis,
            TimeUnit.MILLISECONDS);
  }

  private void hold(WorkerSession session) {
    session.setHolding(true);
    context.metrics().holds().inc();
    long askedMillis = context.now();
    long acknowledged = session.recordedEnd();
    boolean silent = session.silentHolds() >= SILENT_HOLDS_THAT_END_LEASE;
    long lease =
        silent
            ? PollOrder.NO_RENEWAL
            : session.grantLease(context.settings().leaseMillis(), askedMillis);
    PollOrder order = new PollOrder(lease, acknowledged, waitMillis(session), term);
    context
        .gateway()
        .poll(session.registration(), order)
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(),
                "answered",
                (answer, failure) -> answered(session, askedMillis, acknowledged, answer)),
            context.loop());
  }

  /** A list is wanted at once while it is not known what runs. */
  private static long waitMillis(WorkerSession session) {
    boolean settled = session.members().stream().noneMatch(each -> each.state() == State.UNCERTAIN);
    boolean waits = settled && !session.members().isEmpty() && !session.hasUnrecordedEnds();
    return waits ? LONGEST_WAIT_MILLIS : 0;
  }

  private void answered(
      WorkerSession session, long askedMillis, long acknowledged, PollAnswer answer) {
    session.setHolding(false);
    if (closed) {
      return;
    }
    switch (answer) {
      case Listing listing -> {
        session.answered();
        session.acknowledged(acknowledged);
        settle(session, askedMillis, listing);
        continueHolding(session);
      }
      case Refused refused -> refused(session, refused.reason());
      case Unanswered unanswered -> {
        session.countSilence();
        kickAfter(session, SILENCE_PAUSE_MILLIS);
      }
    }
  }

  private void refused(WorkerSession session, Reason reason) {
    if (reason == Reason.FENCED) {
      listener.fenced();
      return;
    }
    session.countSilence();
    if (reason == Reason.OTHER_LIFE) {
      List.copyOf(session.members()).forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    kickAfter(session, SILENCE_PAUSE_MILLIS);
  }

  private void continueHolding(WorkerSession session) {
    if (session.hasUnrecordedEnds()) {
      kickAfter(session, UNRECORDED_PAUSE_MILLIS);
    } else {
      kick(session);
    }
  }

  private void settle(WorkerSession session, long askedMillis, Listing listing) {
    long now = context.now();
    if (listing.incarnation() > session.incarnation()) {
      session.beginLife(listing.incarnation(), listing.clockMillis(), now);
    }
    session.anchor(listing.clockMillis(), now);
    Set<String> listed = new HashSet<>();
    for (RunningTask running : listing.running()) {
      listed.add(running.task());
      settleRunning(session, running);
    }
    for (EndedTask ended : listing.ended()) {
      listed.add(ended.task());
      settleEnded(session, ended);
    }
    for (Member member : List.copyOf(session.members())) {
      boolean missing = !listed.contains(member.task());
      if (missing && member.mustBeListed(askedMillis, context.settings().stopMillis())) {
        driver.resolve(member, EndKind.LOST, "");
      }
    }
    long born = session.incarnation();
    long upTo = session.seenEnd();
    if (session.hasUnrecordedEnds()) {
      driver.whenStored(
          () -> {
            if (session.incarnation() == born) {
              session.endRecorded(upTo);
              kick(session);
            }
          });
    }
  }

  private void settleRunning(WorkerSession session, RunningTask running) {
    Member member = session.member(running.task());
    if (member == null || member.run().number() != running.run()) {
      stopUnknown(session, running);
      return;
    }
    if (member.state() == State.UNCERTAIN || member.state() == State.SENT) {
      member.confirm(context.now());
    }
    member.progress(running.percent(), context.now());
    member.unit().keepCheckpoint(running.checkpoint());
  }

  private void stopUnknown(WorkerSession session, RunningTask running) {
    context
        .events()
        .event("unknown-run")
        .with("task", running.task())
        .with("run", running.run())
        .with("worker", session.id())
        .with("term", term)
        .write();
    context
        .gateway()
        .stop(session.registration(), new StopOrder(running.task(), running.run(), term));
  }

  private void settleEnded(WorkerSession session, EndedTask ended) {
    if (ended.number() <= session.seenEnd()) {
      return;
    }
    session.endSeen(ended.number());
    Member member = session.member(ended.task());
    if (member != null && member.run().number() == ended.run()) {
      driver.resolve(member, ended.kind(), ended.checkpoint());
    }
  }
}
