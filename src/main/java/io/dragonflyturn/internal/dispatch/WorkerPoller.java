package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.EndedTask;
import io.dragonflyturn.internal.fleet.OrderAnswer.Reason;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollAnswer.Listing;
import io.dragonflyturn.internal.fleet.PollAnswer.Refused;
import io.dragonflyturn.internal.fleet.PollAnswer.Unanswered;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.RunningTask;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Polls workers to renew their leases, and reconciles the members of each session with the runs
 * that the worker lists.
 *
 * <p>One long poll is open for each worker with members. A worker without members is polled only to
 * acknowledge ended runs, and after an unanswered poll until it answers again.
 */
final class WorkerPoller {
  /** How long a worker with members may wait for an end before it answers a poll. */
  private static final long MAXIMUM_POLL_WAIT_MILLIS = 2_000;

  /** The same while leases end early, so that the next poll renews them before they have ended. */
  private static final long SHORT_LEASE_POLL_WAIT_MILLIS = 500;

  /** The delay before the next poll while the leader is still storing ends that it has seen. */
  private static final long UNRECORDED_END_POLL_DELAY_MILLIS = 100;

  /** The delay before the next poll after a worker has refused a poll or has not answered it. */
  private static final long UNANSWERED_POLL_DELAY_MILLIS = 250;

  /** The delay before a worker without members is polled, which is not urgent. */
  private static final long MEMBERLESS_POLL_DELAY_MILLIS = 800;

  /**
   * The number of unanswered polls after which polls no longer renew the lease, so that it expires.
   */
  private static final int UNANSWERED_POLLS_BEFORE_LEASE_EXPIRY = 2;

  private final DispatchContext context;
  private final long term;
  private final LeadershipLease leadershipLease;
  private final RunDriver driver;
  private final WorkerHealth health;
  private final RunDriver.Listener listener;
  private boolean closed;

  WorkerPoller(
      DispatchContext context,
      long term,
      LeadershipLease leadershipLease,
      RunDriver driver,
      WorkerHealth health,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
    this.leadershipLease = leadershipLease;
    this.driver = driver;
    this.health = health;
    this.listener = listener;
  }

  void close() {
    closed = true;
  }

  /** Polls a worker if it needs a poll and none is open or scheduled. */
  void pollIfNeeded(WorkerSession session) {
    if (closed || session.isPolling() || session.isPollScheduled() || !session.needsPoll()) {
      return;
    }
    if (session.members().isEmpty()) {
      schedulePoll(session, MEMBERLESS_POLL_DELAY_MILLIS);
      return;
    }
    poll(session);
  }

  /**
   * Resolves the members of a silent worker as lost once all its leases have expired, stops runs
   * without progress, and polls the worker if needed.
   */
  void tick(WorkerSession session) {
    long now = context.nowMillis();
    boolean expired =
        !session.members().isEmpty()
            && session.unansweredPolls() > 0
            && session.haveLeasesExpired(now, context.settings().leaseMillis());
    if (expired) {
      context
          .events()
          .event("worker-leases-ended")
          .with("worker", session.id())
          .with("members", session.members().size())
          .with("unansweredPolls", session.unansweredPolls())
          .with("term", term)
          .write();
      List.copyOf(session.members()).forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    for (Member member : List.copyOf(session.members())) {
      if (member.isStalled() && session.unansweredPolls() == 0) {
        stopStalledRun(member);
      }
    }
    pollIfNeeded(session);
  }

  /** Stops a run without progress, and excludes its worker for a time. */
  private void stopStalledRun(Member member) {
    ActiveRun run = member.run();
    boolean waitsForMembers =
        run.members().stream().anyMatch(each -> each.state() != State.CONFIRMED);
    boolean reportsNoProgress = run.unit().step().endless();
    if (run.isAborting() || run.unit().isDone() || waitsForMembers || reportsNoProgress) {
      return;
    }
    health.recordStall(member.session().id());
    run.unit().failedWorkers().add(member.session().id());
    driver.abort(run, "no-progress");
  }

  private void schedulePoll(WorkerSession session, long delayMillis) {
    session.setPollScheduled(true);
    context
        .eventLoop()
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
    long pollSentMillis = context.nowMillis();
    long acknowledgedEnd = session.lastRecordedEnd();
    boolean letsLeaseExpire =
        session.unansweredPolls() >= UNANSWERED_POLLS_BEFORE_LEASE_EXPIRY
            || leadershipLease.hasExpired();
    long leaseUntilMillis =
        letsLeaseExpire
            ? PollOrder.NO_RENEWAL
            : session.grantLease(leadershipLease.workerLeaseEndMillis(), pollSentMillis);
    PollOrder order = new PollOrder(leaseUntilMillis, acknowledgedEnd, waitMillis(session), term);
    context
        .gateway()
        .poll(session.registration(), order)
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(),
                "answered",
                (answer, failure) ->
                    pollAnswered(session, pollSentMillis, acknowledgedEnd, answer)),
            context.eventLoop());
  }

  /**
   * Returns how long the worker may wait before it answers: not at all while it is unknown what it
   * runs.
   */
  private long waitMillis(WorkerSession session) {
    boolean statesKnown =
        session.members().stream().noneMatch(each -> each.state() == State.UNCERTAIN);
    boolean waits = statesKnown && !session.members().isEmpty() && !session.hasUnrecordedEnds();
    if (!waits) {
      return 0;
    }
    return leadershipLease.shortensWorkerLeases()
        ? SHORT_LEASE_POLL_WAIT_MILLIS
        : MAXIMUM_POLL_WAIT_MILLIS;
  }

  private void pollAnswered(
      WorkerSession session, long pollSentMillis, long acknowledgedEnd, PollAnswer answer) {
    session.setPolling(false);
    if (closed) {
      return;
    }
    switch (answer) {
      case Listing listing -> {
        answeredAgain(session);
        session.markEndAcknowledged(acknowledgedEnd);
        reconcile(session, pollSentMillis, listing);
        continuePolling(session);
      }
      case Refused refused -> pollRefused(session, refused.reason());
      case Unanswered unanswered -> {
        countUnansweredPoll(session, "no-answer");
        schedulePollAfterFailure(session);
      }
    }
  }

  /** Counts a poll without an answer, after which the worker gets no work until it answers. */
  private void countUnansweredPoll(WorkerSession session, String cause) {
    session.countUnansweredPoll();
    if (session.unansweredPolls() == 1) {
      context
          .events()
          .event("worker-silent")
          .with("worker", session.id())
          .with("cause", cause)
          .with("members", session.members().size())
          .with("term", term)
          .write();
    }
  }

  private void schedulePollAfterFailure(WorkerSession session) {
    schedulePoll(
        session,
        session.members().isEmpty() ? MEMBERLESS_POLL_DELAY_MILLIS : UNANSWERED_POLL_DELAY_MILLIS);
  }

  /** Makes a worker available for placement again if its last poll was not answered. */
  private void answeredAgain(WorkerSession session) {
    if (session.unansweredPolls() == 0) {
      return;
    }
    context
        .events()
        .event("worker-answers")
        .with("worker", session.id())
        .with("unansweredPolls", session.unansweredPolls())
        .with("term", term)
        .write();
    session.resetUnansweredPolls();
    listener.resourcesChanged();
  }

  private void pollRefused(WorkerSession session, Reason reason) {
    if (reason == Reason.FENCED) {
      listener.fenced();
      return;
    }
    countUnansweredPoll(session, reason.toString());
    if (reason == Reason.OTHER_LIFE) {
      List.copyOf(session.members()).forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    schedulePollAfterFailure(session);
  }

  private void continuePolling(WorkerSession session) {
    if (session.hasUnrecordedEnds()) {
      schedulePoll(session, UNRECORDED_END_POLL_DELAY_MILLIS);
    } else {
      pollIfNeeded(session);
    }
  }

  /** Updates the members of a session from the runs that the worker lists. */
  private void reconcile(WorkerSession session, long pollSentMillis, Listing listing) {
    long now = context.nowMillis();
    if (listing.incarnation() > session.incarnation()) {
      session.beginIncarnation(listing.incarnation(), listing.clockMillis(), now);
    }
    session.recordClock(listing.clockMillis(), now);
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
      if (missing && member.mustBeListed(pollSentMillis, context.settings().maximumStopMillis())) {
        driver.resolve(member, EndKind.LOST, "");
      }
    }
    long incarnation = session.incarnation();
    long endNumber = session.lastSeenEnd();
    if (session.hasUnrecordedEnds()) {
      driver.whenStored(
          () -> {
            if (session.incarnation() == incarnation) {
              session.markEndRecorded(endNumber);
              pollIfNeeded(session);
            }
          });
    }
  }

  private void reconcileRunning(WorkerSession session, RunningTask running) {
    Member member = session.member(running.task());
    if (member == null || member.run().number() != running.runNumber()) {
      stopUnknownRun(session, running);
      return;
    }
    if (member.state() == State.UNCERTAIN || member.state() == State.SENT) {
      member.confirm(context.nowMillis());
    }
    if (member.updateProgress(running.percent(), context.nowMillis())) {
      health.recordProgress(session.id());
    }
    member.unit().updateCheckpoint(running.checkpoint());
  }

  /** Stops a run that the worker lists but that the leader has not placed there. */
  private void stopUnknownRun(WorkerSession session, RunningTask running) {
    context
        .events()
        .event("unknown-run")
        .with("task", running.task())
        .with("run", running.runNumber())
        .with("worker", session.id())
        .with("term", term)
        .write();
    context
        .gateway()
        .stop(session.registration(), new StopOrder(running.task(), running.runNumber(), term));
  }

  private void reconcileEnded(WorkerSession session, EndedTask ended) {
    if (ended.endNumber() <= session.lastSeenEnd()) {
      return;
    }
    session.markEndSeen(ended.endNumber());
    Member member = session.member(ended.task());
    if (member != null && member.run().number() == ended.runNumber()) {
      driver.resolve(member, ended.kind(), ended.checkpoint());
    }
  }
}
