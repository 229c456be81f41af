package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.OrderAnswer.Reason;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollAnswer.Listing;
import io.dragonflyturn.internal.fleet.PollAnswer.Refused;
import io.dragonflyturn.internal.fleet.PollAnswer.Unanswered;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Polls workers to renew their leases and to learn which runs they list, and acknowledges the ends
 * of runs once they are stored.
 *
 * <p>One long poll is open for each worker with members. A worker without members is polled only to
 * acknowledge ended runs, and after an unanswered poll until it answers again.
 */
final class WorkerPoller {
  /** How long a worker with members may wait for an end before it answers a poll. */
  private static final long MAXIMUM_POLL_WAIT_MILLIS = 2_000;

  /**
   * The same while leases end early, so that the next poll renews them before they have ended, and
   * while a start is in doubt, of which the next poll tells.
   */
  private static final long SHORT_POLL_WAIT_MILLIS = 500;

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
  private final RunReconciler reconciler;
  private boolean closed;

  WorkerPoller(
      DispatchContext context,
      long term,
      LeadershipLease leadershipLease,
      RunDriver driver,
      WorkerHealth health,
      PaceObserver paces,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
    this.leadershipLease = leadershipLease;
    this.driver = driver;
    this.health = health;
    this.listener = listener;
    this.reconciler = new RunReconciler(context, term, driver, health, paces, listener);
  }

  void close() {
    closed = true;
  }

  /** Polls a worker if it needs a poll and none is open or scheduled. */
  void pollIfNeeded(WorkerSession session) {
    boolean pending = session.life().isPolling() || session.isPollScheduled();
    if (closed || pending || !session.needsPoll()) {
      return;
    }
    boolean isUrgent =
        !session.members().isEmpty()
            || session.life().hasUnlistedEnds()
            || session.awaitsFirstList();
    if (!isUrgent) {
      schedulePoll(session, MEMBERLESS_POLL_DELAY_MILLIS);
      return;
    }
    poll(session);
  }

  /**
   * Polls a worker that has started again at once, so that it refuses orders for its former life.
   */
  void pollRestarted(WorkerSession session) {
    if (!closed && !session.life().isPolling()) {
      poll(session);
    }
  }

  /**
   * Resolves the members of a silent worker as lost once all its leases have expired, stops runs
   * without progress, and polls the worker if needed.
   *
   * @param knowsLives whether the leader would know of a worker that has started again
   */
  void tick(WorkerSession session, boolean knowsLives) {
    List<Member> ended = certainlyEnded(session, knowsLives);
    if (!ended.isEmpty()) {
      context
          .events()
          .event("worker-leases-ended")
          .with("worker", session.id())
          .with("members", ended.size())
          .with("undecided", session.members().size() - ended.size())
          .with("unansweredPolls", session.unansweredPolls())
          .with("registered", session.isRegistered())
          .with("knowsLives", knowsLives)
          .with("incarnation", session.incarnation())
          .with("term", term)
          .write();
      ended.forEach(each -> driver.resolve(each, EndKind.LOST, ""));
    }
    for (Member member : List.copyOf(session.members())) {
      if (member.isStalled() && session.unansweredPolls() == 0) {
        stopStalledRun(member);
      }
    }
    pollIfNeeded(session);
  }

  /** Returns the members of a silent worker that have certainly ended. */
  private List<Member> certainlyEnded(WorkerSession session, boolean knowsLives) {
    if (session.unansweredPolls() == 0) {
      return List.of();
    }
    long now = context.nowMillis();
    long leaseMillis = context.settings().leaseMillis();
    return session.members().stream()
        .filter(member -> session.hasCertainlyEnded(member, now, leaseMillis, knowsLives))
        .toList();
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
    ScheduledFuture<?> scheduled =
        context
            .eventLoop()
            .schedule(() -> runScheduledPoll(session), delayMillis, TimeUnit.MILLISECONDS);
    session.setScheduledPoll(scheduled);
  }

  private void runScheduledPoll(WorkerSession session) {
    session.cancelScheduledPoll();
    if (!closed && !session.life().isPolling() && session.needsPoll()) {
      poll(session);
    }
  }

  private void poll(WorkerSession session) {
    session.cancelScheduledPoll();
    WorkerLife life = session.life();
    life.setPolling(true);
    context.metrics().polls().inc();
    SentPoll sent = new SentPoll(life, context.nowMillis(), pollOrder(session));
    context
        .gateway()
        .poll(session.registration(), sent.order())
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(),
                "answered",
                (answer, failure) -> pollAnswered(session, sent, answer)),
            context.eventLoop());
  }

  private PollOrder pollOrder(WorkerSession session) {
    boolean letsLeaseExpire =
        session.unansweredPolls() >= UNANSWERED_POLLS_BEFORE_LEASE_EXPIRY
            || leadershipLease.hasExpired();
    long leaseUntilMillis =
        letsLeaseExpire
            ? PollOrder.NO_RENEWAL
            : session.grantLease(leadershipLease.workerLeaseEndMillis(), context.nowMillis());
    WorkerLife life = session.life();
    return new PollOrder(
        leaseUntilMillis, life.endToAcknowledge(), waitMillis(session), life.fence());
  }

  /** A poll with the life of the worker that it was made for. */
  private record SentPoll(WorkerLife life, long sentMillis, PollOrder order) {
    boolean grantsLease() {
      return order.leaseUntilMillis() != PollOrder.NO_RENEWAL;
    }
  }

  /**
   * Returns how long the worker may wait before it answers: not at all while it is unknown what it
   * runs, or whether it answers.
   */
  private long waitMillis(WorkerSession session) {
    boolean statesKnown =
        session.members().stream().noneMatch(each -> each.state() == State.UNCERTAIN);
    boolean waits =
        statesKnown
            && !session.isSilent()
            && !session.members().isEmpty()
            && !session.life().hasUnrecordedEnds();
    if (!waits) {
      return 0;
    }
    boolean hasStartInDoubt = session.members().stream().anyMatch(Member::isStartInDoubt);
    return leadershipLease.shortensWorkerLeases() || hasStartInDoubt
        ? SHORT_POLL_WAIT_MILLIS
        : MAXIMUM_POLL_WAIT_MILLIS;
  }

  /**
   * Processes the answer to a poll. An answer to a poll for a former life is ignored: the present
   * one is polled itself, and ends that it lists by then must not count for both.
   */
  private void pollAnswered(WorkerSession session, SentPoll sent, PollAnswer answer) {
    WorkerLife life = sent.life();
    life.setPolling(false);
    if (closed) {
      return;
    }
    if (life != session.life() || session.isClosed()) {
      pollLost(session, sent);
      return;
    }
    switch (answer) {
      case Listing listing -> {
        answeredAgain(session);
        if (belongsTo(session, listing)) {
          session.firstAnswered(context.nowMillis());
          life.markListed(sent.sentMillis());
          life.markEndAcknowledged(sent.order().lastAcknowledgedEnd());
          reconciler.reconcile(session, sent.sentMillis(), listing);
          acknowledgeOnceStored(session);
          continuePolling(session);
        } else {
          pollLost(session, sent);
        }
      }
      case Refused refused -> pollRefused(session, refused.reason());
      case Unanswered unanswered -> {
        pollLost(session, sent);
        life.markInDoubt(context.nowMillis());
        countUnansweredPoll(session, "no-answer");
        schedulePollAfterFailure(session);
      }
    }
  }

  /** Records that a poll may have granted a lease to another life than it was made for. */
  private void pollLost(WorkerSession session, SentPoll sent) {
    if (sent.grantsLease()) {
      session.orderLost(context.nowMillis());
    }
  }

  /**
   * Returns whether a list is of the life that was polled. If it is of another one, that one is the
   * present life, because it answers a poll that was sent while the former one was.
   */
  private boolean belongsTo(WorkerSession session, Listing listing) {
    WorkerLife life = session.life();
    if (!life.isIncarnationKnown()) {
      life.learnIncarnation(listing.incarnation());
    }
    if (listing.incarnation() == life.incarnation()) {
      return true;
    }
    long incarnationBefore = life.incarnation();
    session.beginLife(listing.incarnation(), listing.clockMillis(), context.nowMillis());
    driver.workerRestarted(session, "poll", incarnationBefore);
    return false;
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
    if (!session.isSilent()) {
      return;
    }
    context
        .events()
        .event("worker-answers")
        .with("worker", session.id())
        .with("unansweredPolls", session.unansweredPolls())
        .with("term", term)
        .write();
    session.markAnswering();
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

  /**
   * Acknowledges the ends that have been seen, by the next poll after they are stored. If the
   * worker has more ends than it listed, that poll follows at once, because it also asks for the
   * others.
   */
  private void acknowledgeOnceStored(WorkerSession session) {
    WorkerLife life = session.life();
    if (!life.hasUnrecordedEnds()) {
      return;
    }
    long endNumber = life.lastSeenEnd();
    driver.whenStored(
        () -> {
          if (session.life() != life || session.isClosed()) {
            return;
          }
          life.markEndRecorded(endNumber);
          if (life.hasUnlistedEnds() && !closed && !life.isPolling()) {
            poll(session);
          } else {
            pollIfNeeded(session);
          }
        });
  }

  private void continuePolling(WorkerSession session) {
    if (session.life().hasUnrecordedEnds()) {
      schedulePoll(session, UNRECORDED_END_POLL_DELAY_MILLIS);
    } else {
      pollIfNeeded(session);
    }
  }
}
