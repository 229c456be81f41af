package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Shows the planner the waiting units and the workers as they are at one moment. */
final class PlanningRound {
  /** A stop of a run of the most urgent jobs counts so many times its work. */
  private static final long URGENT_LOSS_FACTOR = 8;

  private final DispatchContext context;
  private final Map<String, WorkerSession> sessions;
  private final Collection<ActiveJob> jobs;
  private final WorkerTrust trust;
  private final UrgentHeadroom headroom;
  private final UrgencyRanks ranks;

  PlanningRound(
      DispatchContext context,
      Map<String, WorkerSession> sessions,
      Collection<ActiveJob> jobs,
      WorkerTrust trust,
      UrgentHeadroom headroom) {
    this.context = context;
    this.sessions = sessions;
    this.jobs = jobs;
    this.trust = trust;
    this.headroom = headroom;
    this.ranks = new UrgencyRanks(jobs, context.guarantees());
  }

  /** Returns the units that wait for places, in the order in which they are served. */
  Map<String, WorkUnit> waitingUnits() {
    List<WorkUnit> ready = new ArrayList<>();
    long timeOfDay = context.timeOfDay().millis();
    for (ActiveJob job : jobs) {
      job.openDue(timeOfDay);
      ready.addAll(job.readyUnits());
    }
    ready.sort(
        Comparator.comparingInt((WorkUnit unit) -> ranks.of(unit.job()))
            .thenComparingLong(unit -> unit.job().submission().acceptedMillis()));
    Map<String, WorkUnit> waiting = new LinkedHashMap<>();
    for (WorkUnit unit : ready) {
      unit.waitFrom(context.now());
      waiting.put(unit.key(), unit);
    }
    return waiting;
  }

  /** Plans places for waiting units. */
  PlacementPlan plan(Collection<WorkUnit> waiting) {
    List<WorkerSpace> spaces = spaces();
    headroom.observe(urgentAccelerators(), context.now());
    return PlacementPlanner.plan(
        spaces, headroom.chooseFrom(spaces), waiting.stream().map(this::request).toList());
  }

  /** Returns how many accelerators the urgent jobs run on or wait for. */
  private long urgentAccelerators() {
    long sum = 0;
    for (ActiveJob job : jobs) {
      if (job.priority() == UrgencyRanks.URGENT && !job.isEnding()) {
        sum += job.openAccelerators();
      }
    }
    return sum;
  }

  private PlacementRequest request(WorkUnit unit) {
    return new PlacementRequest(
        unit.key(),
        unit.stepKey(),
        unit.job().submission().queue().service(),
        ranks.of(unit.job()),
        unit.step(),
        unit.tasks(),
        unit.failedWorkers(),
        runsOfStep(unit),
        context.now() - unit.waitingSinceMillis(),
        Patience.of(unit));
  }

  private Map<String, Integer> runsOfStep(WorkUnit unit) {
    Map<String, Integer> runs = new HashMap<>();
    if (unit.step().maximumPerWorker() > 0) {
      for (String worker : sessions.keySet()) {
        runs.put(worker, unit.job().runsOn(worker, unit.occurrence(), unit.stepIndex()));
      }
    }
    return runs;
  }

  private List<WorkerSpace> spaces() {
    List<WorkerSpace> spaces = new ArrayList<>();
    for (WorkerSession session : sessions.values()) {
      WorkerRegistration worker = session.registration();
      boolean usable =
          session.isListed()
              && !worker.draining()
              && session.silentHolds() == 0
              && !context.rules().isOutOfService(worker.failureDomain());
      if (usable) {
        spaces.add(space(session));
      }
    }
    return spaces;
  }

  private WorkerSpace space(WorkerSession session) {
    List<WorkerSpace.Occupant> occupants = new ArrayList<>();
    for (Member member : session.members()) {
      occupants.add(occupant(member));
    }
    WorkerRegistration worker = session.registration();
    return new WorkerSpace(
        worker.id(),
        worker.service(),
        worker.rack(),
        worker.labels(),
        trust.isTrusted(worker.id()),
        worker.capacity(),
        occupants);
  }

  private WorkerSpace.Occupant occupant(Member member) {
    int rank = ranks.of(member.unit().job());
    long loss = StopLoss.of(member, context.now());
    return new WorkerSpace.Occupant(
        member.unit().key(),
        member.unit().step().endless() ? UrgencyRanks.NEVER_DISPLACED : rank,
        member.unit().step().demand(),
        member.run().isAborting(),
        rank <= UrgencyRanks.URGENT ? loss * URGENT_LOSS_FACTOR : loss);
  }
}
