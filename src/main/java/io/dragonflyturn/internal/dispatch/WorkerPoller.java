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
final class WorkerPoller {
  private static final long MAXIMUM_POLL_WAIT_MILLIS = 2_000;
  private static final long UNRECORDED_END_POLL_DELAY_MILLIS = 100;
  private static final long UNANSWERED_POLL_DELAY_MILLIS = 250;
  private static final long ACKNOWLEDGEMENT_DELAY_MILLIS = 800;

  /** A worker that leaves so many orders unanswered is asked without renewing its lease. */
  private static final int UNANSWERED_POLLS_BEFORE_LEASE_EXPIRY = 2;

  private static final long STALL_TIMEOUT_MILLIS = 3_500;

  private final DispatchContext context;
  private final long term;
  private final RunDriver driver;
  private final WorkerHealth health;
  private final RunDriver.Listener listener;
  private boolean closed;

  WorkerPoller(
      DispatchContext context,
      long term,
      RunDriver driver,
      WorkerHealth health,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
    this.driver = driver;
    this.health = health;
    this.listener = listener;
  }

  void close() {
    closed = true;
  }

  /** Opens the waiting order of a worker that needs one. */
  void pollIfNeeded(WorkerSession session) {
    if (closed || session.isPolling() || session.isPollScheduled() || !session.needsPoll()) {
      return;
    }
    if (session.members().isEmpty()) {
      schedulePoll(session, ACKNOWLEDGEMENT_DELAY_MILLIS);
      return;
    }
    poll(session);
  }

  /** Settles members whose lease has ended for certain, and runs without progress. */
  void tick(WorkerSession session) {
    long now = context.nowMillis();
    boolean lapsed =
        !session.members().isEmpty()
            && session.unansweredPolls() > 0
            && session.haveLeasesExpired(now, context.settings().leaseMillis());
    if (lapsed) {
      List.copyOf(session.members()).forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    for (Member member : List.copyOf(session.members())) {
      if (member.stalledMillis(now) > STALL_TIMEOUT_MILLIS && session.unansweredPolls() == 0) {
        stalled(member);
      }
    }
    pollIfNeeded(session);
  }

  private void stalled(Member member) {
    ActiveRun run = member.run();
    boolean waitsForOthers =
        run.members().stream().anyMatch(each -> each.state() != State.CONFIRMED);
    boolean hasNoProgress = run.unit().step().endless();
    if (run.isAborting() || run.unit().isDone() || waitsForOthers || hasNoProgress) {
      return;
    }
    health.recordStall(member.session().id());
    run.unit().failedWorkers().add(member.session().id());
    driver.abort(run, "no-progress");
  }

  private void schedulePoll(WorkerSession session, long delayMillis) {
    session.setPollScheduled(true);
    context
        .loop()
        .schedule(
            () -> {
              session.setPollScheduled(false);
              if (!closed && !session.isPolling() && session.needsPoll()) {
                poll(session);
              }
            },
            delayMillis,
            TimeUnit.MILLISECONDS);
  }

  private void poll(WorkerSession session) {
    session.setPolling(true);
    context.metrics().polls().inc();
    long askedMillis = context.nowMillis();
    long acknowledged = session.lastRecordedEnd();
    boolean silent = session.unansweredPolls() >= UNANSWERED_POLLS_BEFORE_LEASE_EXPIRY;
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
    boolean known = session.members().stream().noneMatch(each -> each.state() == State.UNCERTAIN);
    boolean waits = known && !session.members().isEmpty() && !session.hasUnrecordedEnds();
    return waits ? MAXIMUM_POLL_WAIT_MILLIS : 0;
  }

  private void answered(
      WorkerSession session, long askedMillis, long acknowledged, PollAnswer answer) {
    session.setPolling(false);
    if (closed) {
      return;
    }
    switch (answer) {
      case Listing listing -> {
        session.resetUnansweredPolls();
        session.markEndAcknowledged(acknowledged);
        reconcile(session, askedMillis, listing);
        continuePolling(session);
      }
      case Refused refused -> refused(session, refused.reason());
      case Unanswered unanswered -> {
        session.countUnansweredPoll();
        schedulePoll(session, UNANSWERED_POLL_DELAY_MILLIS);
      }
    }
  }

  private void refused(WorkerSession session, Reason reason) {
    if (reason == Reason.FENCED) {
      listener.fenced();
      return;
    }
    session.countUnansweredPoll();
    if (reason == Reason.OTHER_LIFE) {
      List.copyOf(session.members()).forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    schedulePoll(session, UNANSWERED_POLL_DELAY_MILLIS);
  }

  private void continuePolling(WorkerSession session) {
    if (session.hasUnrecordedEnds()) {
      schedulePoll(session, UNRECORDED_END_POLL_DELAY_MILLIS);
    } else {
      pollIfNeeded(session);
    }
  }

  private void reconcile(WorkerSession session, long askedMillis, Listing listing) {
    long now = context.nowMillis();
    if (listing.incarnation() > session.incarnation()) {
      session.beginIncarnation(listing.incarnation(), listing.clockMillis(), now);
    }
    session.synchronizeClock(listing.clockMillis(), now);
    Set<String> listed = new HashSet<>();
    for (RunningTask running : listing.running()) {
      listed.add(running.task());
      reconcileRunning(session, running);
    }
    for (EndedTask ended : listing.ended()) {
      listed.add(ended.task());
      reconcileEnded(session, ended);
    }
    for (Member member : List.copyOf(session.members())) {
      boolean missing = !listed.contains(member.task());
      if (missing && member.mustBeListed(askedMillis, context.settings().maximumStopMillis())) {
        driver.resolve(member, EndKind.LOST, "");
      }
    }
    long incarnation = session.incarnation();
    long upTo = session.lastSeenEnd();
    if (session.hasUnrecordedEnds()) {
      driver.whenStored(
          () -> {
            if (session.incarnation() == incarnation) {
              session.markEndRecorded(upTo);
              pollIfNeeded(session);
            }
          });
    }
  }

  private void reconcileRunning(WorkerSession session, RunningTask running) {
    Member member = session.member(running.task());
    if (member == null || member.run().number() != running.run()) {
      stopUnknown(session, running);
      return;
    }
    if (member.state() == State.UNCERTAIN || member.state() == State.SENT) {
      member.confirm(context.nowMillis());
    }
    member.updateProgress(running.percent(), context.nowMillis());
    member.unit().updateCheckpoint(running.checkpoint());
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

  private void reconcileEnded(WorkerSession session, EndedTask ended) {
    if (ended.number() <= session.lastSeenEnd()) {
      return;
    }
    session.markEndSeen(ended.number());
    Member member = session.member(ended.task());
    if (member != null && member.run().number() == ended.run()) {
      driver.resolve(member, ended.kind(), ended.checkpoint());
    }
  }
}
