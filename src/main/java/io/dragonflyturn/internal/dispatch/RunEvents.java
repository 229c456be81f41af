package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.logging.EventLog;

/** Writes the starts, stops, and ends of the runs of a term to the event log. */
final class RunEvents {
  private final EventLog events;
  private final long term;

  RunEvents(EventLog events, long term) {
    this.events = events;
    this.term = term;
  }

  /** Logs the outcome of a start order. */
  void startOrdered(Member member, Object outcome) {
    events
        .event("run-start")
        .with("task", member.task())
        .with("run", member.run().number())
        .with("worker", member.session().id())
        .with("incarnation", member.session().incarnation())
        .with("outcome", outcome)
        .with("try", member.startAttempts())
        .with("term", term)
        .write();
  }

  /** Logs that a worker's clock shows less than it must if the worker has not restarted. */
  void clockBehind(Member member, long clockMillis) {
    WorkerSession session = member.session();
    events
        .event("worker-clock-behind")
        .with("worker", session.id())
        .with("incarnation", session.incarnation())
        .with("clockMillis", clockMillis)
        .with("leastMillis", member.sentWorkerMillis())
        .with("task", member.task())
        .with("term", term)
        .write();
  }

  /**
   * Logs that a worker has started again.
   *
   * @param learnedFrom what told so
   * @param incarnationBefore the incarnation of the life before
   */
  void workerRestarted(WorkerSession session, String learnedFrom, long incarnationBefore) {
    events
        .event("worker-restarted")
        .with("worker", session.id())
        .with("learnedFrom", learnedFrom)
        .with("incarnation", session.incarnation())
        .with("before", incarnationBefore)
        .with("fence", session.life().fence())
        .with("members", session.members().size())
        .with("term", term)
        .write();
  }

  /** Logs why a run is stopped. */
  void runStopped(ActiveRun run, String cause) {
    events
        .event("run-stopped")
        .with("unit", run.unit().key())
        .with("run", run.number())
        .with("cause", cause)
        .with("term", term)
        .write();
  }

  /** Logs that a worker refused a stop order, which is repeated. */
  void stopRefused(Member member, OrderAnswer.Reason reason) {
    events.event("stop-refused").with("task", member.task()).with("reason", reason).write();
  }

  /** Logs the end of a member. */
  void memberEnded(Member member, EndKind kind) {
    events
        .event("run-ended")
        .with("task", member.task())
        .with("run", member.run().number())
        .with("worker", member.session().id())
        .with("how", kind)
        .with("percent", member.percent())
        .with("term", term)
        .write();
  }
}
