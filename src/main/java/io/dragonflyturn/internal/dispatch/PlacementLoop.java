package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.policy.PlacementPlan;
import io.dragonflyturn.internal.policy.PlacementPlan.PlacedUnit;
import io.dragonflyturn.internal.policy.PlacementPlan.Preemption;
import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.policy.UrgentHeadroom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Runs planning rounds on request at a limited rate, and executes their plans. */
final class PlacementLoop {
  /**
   * Rounds are spaced so that planning uses at most one part in this many of the event loop's time.
   */
  private static final int PLANNING_TIME_DIVISOR = 4;

  /** How long a unit waits before the cause is logged. */
  private static final long LOGGED_WAIT_MILLIS = 2_000;

  /** The maximum pause between two rounds. */
  private static final long MAXIMUM_PAUSE_MILLIS = 200;

  /**
   * The minimum pause after a round that left units for the next one. Leadership is renewed, and
   * orders are sent and answered, in between.
   */
  private static final long MINIMUM_PAUSE_AFTER_CUT_MILLIS = 20;

  private final DispatchContext context;
  private final long term;
  private final SequencedWriter runsWriter;
  private final WorkerFleet fleet;
  private final Map<String, ActiveJob> jobs;
  private final WorkerHealth health;
  private final RunDriver driver;
  private final ForecastWaits forecastWaits;
  private final PaceObserver paces;
  private final UrgentHeadroom headroom = new UrgentHeadroom();
  private final CustomerMonitor customerMonitor;

  /** The units for which the last round had runs stopped, or found that they were. */
  private Set<String> preempting = Set.of();

  private boolean running;
  private boolean requested;

  /** Whether units found no room in the last round, so that their order matters. */
  private boolean lacksRoom;

  private long nextRoundMillis;

  PlacementLoop(
      DispatchContext context,
      long term,
      SequencedWriter runsWriter,
      WorkerFleet fleet,
      Map<String, ActiveJob> jobs,
      WorkerHealth health,
      RunDriver driver,
      PaceObserver paces) {
    this.context = context;
    this.term = term;
    this.runsWriter = runsWriter;
    this.fleet = fleet;
    this.jobs = jobs;
    this.health = health;
    this.driver = driver;
    this.customerMonitor = new CustomerMonitor(context, fleet, driver.quota());
    this.forecastWaits = new ForecastWaits(context);
    this.paces = paces;
  }

  /** Starts planning; earlier requests have no effect. */
  void start() {
    running = true;
    request();
  }

  void close() {
    running = false;
    customerMonitor.close();
  }

  /** Requests a planning round; requests made before the round begins share it. */
  void request() {
    if (requested || !running) {
      return;
    }
    requested = true;
    long pauseMillis = nextRoundMillis - context.nowMillis();
    if (pauseMillis > 0) {
      context.eventLoop().schedule(this::runTimedRound, pauseMillis, TimeUnit.MILLISECONDS);
    } else {
      context.eventLoop().execute(this::runTimedRound);
    }
  }

  private void runTimedRound() {
    requested = false;
    if (!running) {
      return;
    }
    long startMillis = context.nowMillis();
    boolean cut = runRound();
    long endMillis = context.nowMillis();
    long pauseMillis = (endMillis - startMillis) * (PLANNING_TIME_DIVISOR - 1);
    long minimumMillis = cut ? MINIMUM_PAUSE_AFTER_CUT_MILLIS : 0;
    nextRoundMillis = endMillis + Math.clamp(pauseMillis, minimumMillis, MAXIMUM_PAUSE_MILLIS);
    context.metrics().roundMillis().update(endMillis - startMillis);
    if (cut) {
      request();
    }
  }

  /** Plans the waiting units once. Returns whether units are left for the next round. */
  private boolean runRound() {
    PlanningRound round =
        new PlanningRound(
            context,
            fleet.sessions(),
            jobs.values(),
            health,
            headroom,
            paces,
            driver.quota().placed(),
            preempting);
    Map<String, WorkUnit> waiting = round.waitingUnits(lacksRoom);
    lacksRoom &= !waiting.isEmpty();
    if (waiting.isEmpty()) {
      customerMonitor.observe(waiting, Map.of());
    }
    if (waiting.isEmpty() || runsWriter.isRetrying() || !context.areRulesCurrent()) {
      return false;
    }
    PlacementPlan plan = round.plan(waiting.values());
    preempting = plan.preemptingUnits();
    customerMonitor.observe(waiting, plan.waiting());
    forecastWaits.record(plan);
    lacksRoom = plan.waiting().containsValue(WaitCause.INSUFFICIENT_RESOURCES);
    for (PlacedUnit placed : plan.placed()) {
      startUnit(waiting.get(placed.unitKey()), placed.workers());
    }
    plan.preempted().forEach(this::preempt);
    plan.waiting().forEach((unitKey, cause) -> logWait(round, waiting.get(unitKey), cause));
    recordSize(plan, waiting.size());
    return plan.cut();
  }

  /** Records how many units a round placed, and how many it left for the next one. */
  private void recordSize(PlacementPlan plan, int units) {
    int left = plan.cut() ? units - plan.placed().size() - plan.waiting().size() : 0;
    context.metrics().roundPlaced().update(plan.placed().size());
    context.metrics().roundLeft().update(left);
    if (plan.cut()) {
      context
          .events()
          .event("round-cut")
          .with("placed", plan.placed().size())
          .with("displaced", plan.preempted().size())
          .with("left", left)
          .with("term", term)
          .write();
    }
  }

  /** Logs why a unit of a job has waited for a while; each cause once for a job. */
  private void logWait(PlanningRound round, @Nullable WorkUnit unit, WaitCause cause) {
    if (unit == null) {
      return;
    }
    long waitedMillis = context.nowMillis() - unit.readySinceMillis();
    if (waitedMillis < LOGGED_WAIT_MILLIS || !unit.job().addWaitCause(cause)) {
      return;
    }
    String customer = unit.job().submission().customer();
    context
        .events()
        .event("job-waits")
        .with("job", unit.job().id())
        .with("unit", unit.key())
        .with("cause", cause)
        .with("tier", round.tierOf(unit))
        .with("onTimeForMillis", round.objectiveOf(unit).onTimeMillis())
        .with("waitedMillis", waitedMillis)
        .with("workers", fleet.sessions().size())
        .with("reservedWorkers", headroom.reservedWorkers())
        .with("customer", customer)
        .with("customerUses", driver.quota().placed().of(customer))
        .with("customerLimit", context.customers().termsOf(customer).limit())
        .with("term", term)
        .write();
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

  private void preempt(String victimKey, Preemption preemption) {
    UnitKey unitKey = UnitKey.parse(victimKey);
    ActiveJob job = unitKey == null ? null : jobs.get(unitKey.job());
    ActiveRun run = unitKey == null || job == null ? null : job.runOf(unitKey);
    if (run != null) {
      context
          .events()
          .event("run-displaced")
          .with("unit", victimKey)
          .with("by", preemption.preemptor())
          .with("displacements", run.unit().displacements())
          .with("cost", preemption.cost())
          .with("totalCost", preemption.totalCost())
          .with("won", preemption.won())
          .with("lostMillis", run.members().getFirst().runTimeMillis(context.nowMillis()))
          .with("term", term)
          .write();
      run.unit().countDisplacement();
      context.metrics().displacement().countDisplacement();
      driver.abort(run, "displaced");
    }
  }
}
