package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.Member.State;
import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.EndedTask;
import io.dragonflyturn.internal.fleet.PollAnswer.Listing;
import io.dragonflyturn.internal.fleet.RunningTask;
import io.dragonflyturn.internal.fleet.StopOrder;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Updates the members of a session from the runs that its worker lists.
 *
 * <p>A member that is on neither list no longer exists, and how it ended is unknown. This follows
 * only if the worker has listed all its unacknowledged ends. After a partition there may be more of
 * them than fit into one answer, so a missing member stays undecided, and keeps its resources,
 * until the ends that were listed have been acknowledged and the worker has listed the others.
 */
final class RunReconciler {
  private final DispatchContext context;
  private final long term;
  private final RunDriver driver;
  private final WorkerHealth health;
  private final PaceObserver paces;
  private final RunDriver.Listener listener;

  RunReconciler(
      DispatchContext context,
      long term,
      RunDriver driver,
      WorkerHealth health,
      PaceObserver paces,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
    this.driver = driver;
    this.health = health;
    this.paces = paces;
    this.listener = listener;
  }

  /**
   * Processes what the present life of a worker lists in its answer to a poll that was made for it.
   *
   * @param pollSentMillis when the poll was sent, in milliseconds of the monotonic clock
   */
  void reconcile(WorkerSession session, long pollSentMillis, Listing listing) {
    final WorkerLife life = session.life();
    life.recordClock(listing.clockMillis(), context.nowMillis());
    life.setUnlistedEnds(!listing.endsComplete());
    Set<String> listed = new HashSet<>();
    for (RunningTask running : listing.running()) {
      listed.add(running.task());
      reconcileRunning(session, pollSentMillis, running);
    }
    long lastSeenEnd = life.lastSeenEnd();
    for (EndedTask ended : listing.ended()) {
      listed.add(ended.task());
      if (ended.endNumber() > lastSeenEnd) {
        life.markEndSeen(ended.endNumber());
        reconcileEnded(session, ended);
      }
    }
    List<Member> missing =
        session.members().stream()
            .filter(member -> !listed.contains(member.task()))
            .filter(
                member ->
                    member.mustBeListed(pollSentMillis, context.settings().maximumStopMillis()))
            .toList();
    if (listing.endsComplete()) {
      missing.forEach(member -> driver.resolve(member, EndKind.LOST, ""));
    } else {
      logUndecided(session, listing, missing.size());
    }
  }

  private void reconcileRunning(WorkerSession session, long pollSentMillis, RunningTask running) {
    Member member = session.member(running.task());
    if (member == null || member.run().number() != running.runNumber()) {
      stopUnknownRun(session, running);
      return;
    }
    if (member.state() == State.UNCERTAIN || member.state() == State.SENT) {
      member.confirm(context.nowMillis());
    }
    member.markListed(pollSentMillis);
    if (member.updateProgress(running.percent(), context.nowMillis())) {
      health.recordProgress(session.id());
    }
    paces.progressed(member);
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
        .stop(
            session.registration(),
            new StopOrder(running.task(), running.runNumber(), session.life().fence()));
  }

  private void reconcileEnded(WorkerSession session, EndedTask ended) {
    Member member = session.member(ended.task());
    if (member != null && member.run().number() == ended.runNumber()) {
      driver.resolve(member, ended.kind(), ended.checkpoint());
    } else if (ended.kind() == EndKind.DONE) {
      listener.earlierRunCompleted(ended.task());
    }
  }

  private void logUndecided(WorkerSession session, Listing listing, int undecided) {
    context
        .events()
        .event("ends-not-all-listed")
        .with("worker", session.id())
        .with("listed", listing.ended().size())
        .with("undecided", undecided)
        .with("term", term)
        .write();
  }
}
