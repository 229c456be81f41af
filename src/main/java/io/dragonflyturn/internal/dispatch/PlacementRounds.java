package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.PlacementPlan.Placed;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Decides when the leader plans, and carries out what each round decides. */
final class PlacementRounds {
  /** Planning takes at most one part in so many of the event loop's time. */
  private static final int ROUND_TIME_PARTS = 4;

  private static final long LONGEST_PAUSE_MILLIS = 200;

  private final DispatchContext context;
  private final long term;
  private final SequencedWriter runsWriter;
  private final WorkerFleet fleet;
  private final Map<String, ActiveJob> jobs;
  private final WorkerTrust trust;
  private final RunDriver driver;
  private final UrgentHeadroom headroom = new UrgentHeadroom();
  private boolean open;
  private boolean requested;
  private long nextMillis;

  PlacementRounds(
      DispatchContext context,
      long term,
      SequencedWriter runsWriter,
      WorkerFleet fleet,
      Map<String, ActiveJob> jobs,
      WorkerTrust trust,
      RunDriver driver) {
    this.context = context;
    this.term = term;
    this.runsWriter = runsWriter;
    this.fleet = fleet;
    this.jobs = jobs;
    this.trust = trust;
    this.driver = driver;
  }

  /** Begins to plan; requests before this have no effect. */
  void open() {
    open = true;
    request();
  }

  void close() {
    open = false;
  }

  /** Plans soon; one round serves all requests until it begins. */
  void request() {
    if (requested || !open) {
      return;
    }
    requested = true;
    long pauseMillis = nextMillis - context.now();
    if (pauseMillis > 0) {
      context.loop().schedule(this::timedRound, pauseMillis, TimeUnit.MILLISECONDS);
    } else {
      context.loop().execute(this::timedRound);
    }
  }

  private void timedRound() {
    requested = false;
    if (!open) {
      return;
    }
    long startMillis = context.now();
    round();
    long endMillis = context.now();
    long pauseMillis = (endMillis - startMillis) * (ROUND_TIME_PARTS - 1);
    nextMillis = endMillis + Math.min(pauseMillis, LONGEST_PAUSE_MILLIS);
    context.metrics().roundMillis().update(endMillis - startMillis);
  }

  private void round() {
    PlanningRound round =
        new PlanningRound(context, fleet.sessions(), jobs.values(), trust, headroom);
    Map<String, WorkUnit> waiting = round.waitingUnits();
    if (waiting.isEmpty() || runsWriter.isRetrying()) {
      return;
    }
    PlacementPlan plan = round.plan(waiting.values());
    for (Placed placed : plan.placed()) {
      begin(waiting.get(placed.unit()), placed.workers());
    }
    plan.stopped().forEach(this::displace);
  }

  private void begin(@Nullable WorkUnit unit, List<String> workers) {
    List<WorkerSession> places = new ArrayList<>();
    for (String worker : workers) {
      WorkerSession session = fleet.sessions().get(worker);
      if (session != null) {
        places.add(session);
      }
    }
    if (unit != null && places.size() == workers.size()) {
      driver.start(unit, places);
    }
  }

  private void displace(String key, String moreUrgent) {
    UnitKey name = UnitKey.parse(key);
    ActiveJob job = name == null ? null : jobs.get(name.job());
    ActiveRun run = job == null ? null : job.runOf(key);
    if (run != null) {
      context
          .events()
          .event("run-displaced")
          .with("unit", key)
          .with("by", moreUrgent)
          .with("lostMillis", run.members().getFirst().ranMillis(context.now()))
          .with("term", term)
          .write();
      driver.abort(run, "displaced");
    }
  }
}
