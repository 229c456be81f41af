package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.PlacementPlan.PlacedUnit;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Decides when the leader plans, and carries out what each round decides. */
final class PlacementLoop {
  /** Planning takes at most one part in so many of the event loop's time. */
  private static final int PLANNING_TIME_DIVISOR = 4;

  private static final long MAXIMUM_PAUSE_MILLIS = 200;

  private final DispatchContext context;
  private final long term;
  private final SequencedWriter runsWriter;
  private final WorkerFleet fleet;
  private final Map<String, ActiveJob> jobs;
  private final WorkerHealth health;
  private final RunDriver driver;
  private final UrgentHeadroom headroom = new UrgentHeadroom();
  private boolean running;
  private boolean requested;
  private long nextMillis;

  PlacementLoop(
      DispatchContext context,
      long term,
      SequencedWriter runsWriter,
      WorkerFleet fleet,
      Map<String, ActiveJob> jobs,
      WorkerHealth health,
      RunDriver driver) {
    this.context = context;
    this.term = term;
    this.runsWriter = runsWriter;
    this.fleet = fleet;
    this.jobs = jobs;
    this.health = health;
    this.driver = driver;
  }

  /** Begins to plan; requests before this have no effect. */
  void start() {
    running = true;
    request();
  }

  void close() {
    running = false;
  }

  /** Plans soon; one round serves all requests until it begins. */
  void request() {
    if (requested || !running) {
      return;
    }
    requested = true;
    long pauseMillis = nextMillis - context.nowMillis();
    if (pauseMillis > 0) {
      context.loop().schedule(this::timedRound, pauseMillis, TimeUnit.MILLISECONDS);
    } else {
      context.loop().execute(this::timedRound);
    }
  }

  private void timedRound() {
    requested = false;
    if (!running) {
      return;
    }
    long startMillis = context.nowMillis();
    round();
    long endMillis = context.nowMillis();
    long pauseMillis = (endMillis - startMillis) * (PLANNING_TIME_DIVISOR - 1);
    nextMillis = endMillis + Math.min(pauseMillis, MAXIMUM_PAUSE_MILLIS);
    context.metrics().roundMillis().update(endMillis - startMillis);
  }

  private void round() {
    PlanningRound round =
        new PlanningRound(context, fleet.sessions(), jobs.values(), health, headroom);
    Map<String, WorkUnit> waiting = round.waitingUnits();
    if (waiting.isEmpty() || runsWriter.isTroubled()) {
      return;
    }
    PlacementPlan plan = round.plan(waiting.values());
    for (PlacedUnit placed : plan.placed()) {
      startUnit(waiting.get(placed.unitKey()), placed.workers());
    }
    plan.preempted().forEach(this::preempt);
  }

  private void startUnit(@Nullable WorkUnit unit, List<String> workers) {
    List<WorkerSession> workerSessions = new ArrayList<>();
    for (String worker : workers) {
      WorkerSession session = fleet.sessions().get(worker);
      if (session != null) {
        workerSessions.add(session);
      }
    }
    if (unit != null && workerSessions.size() == workers.size()) {
      driver.start(unit, workerSessions);
    }
  }

  private void preempt(String key, String preemptorKey) {
    UnitKey unitKey = UnitKey.parse(key);
    ActiveJob job = unitKey == null ? null : jobs.get(unitKey.job());
    ActiveRun run = job == null ? null : job.runOf(key);
    if (run != null) {
      context
          .events()
          .event("run-displaced")
          .with("unit", key)
          .with("by", preemptorKey)
          .with("lostMillis", run.members().getFirst().runTimeMillis(context.nowMillis()))
          .with("term", term)
          .write();
      driver.abort(run, "displaced");
    }
  }
}
