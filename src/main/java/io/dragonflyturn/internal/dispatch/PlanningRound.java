package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerRegistration;
import io.dragonflyturn.internal.policy.CustomerLimits;
import io.dragonflyturn.internal.policy.CustomerUsage;
import io.dragonflyturn.internal.policy.FairShareQueue;
import io.dragonflyturn.internal.policy.FleetRoom;
import io.dragonflyturn.internal.policy.JobObjective;
import io.dragonflyturn.internal.policy.PlacementPlan;
import io.dragonflyturn.internal.policy.PlacementPlanner;
import io.dragonflyturn.internal.policy.PlacementRequest;
import io.dragonflyturn.internal.policy.PreemptionCost;
import io.dragonflyturn.internal.policy.PreemptionDelay;
import io.dragonflyturn.internal.policy.RequestQueue;
import io.dragonflyturn.internal.policy.ServiceTier;
import io.dragonflyturn.internal.policy.UrgencyRanks;
import io.dragonflyturn.internal.policy.UrgentHeadroom;
import io.dragonflyturn.internal.policy.WorkerSnapshot;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One planning round: collects the waiting units and the state of the workers, and runs the planner
 * on them.
 */
final class PlanningRound {
  /**
   * Multiplies the preemption cost of urgent runs and of runs without an end, so that preempting
   * other runs is preferred.
   */
  private static final long PROTECTED_COST_FACTOR = 8;

  /**
   * The number of units that a round places and displaces. It keeps the event loop free for the
   * renewal of leadership, and exceeds the orders that workers answer until the next round.
   */
  private static final int MAXIMUM_DECISIONS = 500;

  private final DispatchContext context;
  private final Map<String, WorkerSession> sessions;
  private final Collection<ActiveJob> jobs;
  private final WorkerHealth health;
  private final UrgentHeadroom headroom;
  private final CustomerUsage usage;
  private final PaceObserver paces;
  private final Set<String> preempting;
  private final UrgencyRanks ranks;
  private final Map<String, Map<String, Integer>> runsByStep = new HashMap<>();
  private final Map<ActiveRun, Long> remainingMillisByRun = new HashMap<>();
  private List<WorkerSnapshot> snapshots = List.of();
  private WaitingUnits units;

  PlanningRound(
      DispatchContext context,
      Map<String, WorkerSession> sessions,
      Collection<ActiveJob> jobs,
      WorkerHealth health,
      UrgentHeadroom headroom,
      PaceObserver paces,
      CustomerUsage usage,
      Set<String> preempting) {
    this.usage = usage;
    this.preempting = preempting;
    this.context = context;
    this.sessions = sessions;
    this.jobs = jobs;
    this.health = health;
    this.headroom = headroom;
    this.paces = paces;
    this.ranks =
        new UrgencyRanks(
            jobs.stream().filter(job -> !job.isEnding()).map(ActiveJob::submission).toList(),
            context.customers());
    this.units = waitingUnits(List.of());
  }

  /**
   * Returns the units that wait to be placed, by unit key, in the order in which they are served.
   *
   * @param wasShort whether units found no room in the round before
   */
  Map<String, WorkUnit> waitingUnits(boolean wasShort) {
    List<WorkUnit> ready = new ArrayList<>();
    long timeOfDayMillis = context.wallClock().millis();
    for (ActiveJob job : jobs) {
      job.createDueOccurrences(timeOfDayMillis);
      ready.addAll(job.readyUnits());
    }
    ready.removeIf(unit -> unit.isPostponed(context.nowMillis()));
    snapshots = ready.isEmpty() ? List.of() : snapshots();
    units = waitingUnits(ready);
    Map<String, WorkUnit> waiting = new LinkedHashMap<>();
    for (WorkUnit unit : units.inOrder(wasShort)) {
      unit.markReady(context.nowMillis());
      waiting.put(unit.key(), unit);
    }
    return waiting;
  }

  private WaitingUnits waitingUnits(List<WorkUnit> ready) {
    return new WaitingUnits(
        ready,
        ranks,
        paces.runTimes(),
        new FleetRoom(snapshots),
        this::remainingMillis,
        context.nowMillis());
  }

  /**
   * Plans the placement of waiting units.
   *
   * @param waiting the units, in the order in which they are served
   */
  PlacementPlan plan(Collection<WorkUnit> waiting) {
    headroom.observe(urgentAccelerators(), context.nowMillis());
    return PlacementPlanner.plan(
        snapshots,
        headroom.chooseWorkers(snapshots),
        queue(waiting.stream().map(this::toRequest).toList(), snapshots),
        new CustomerLimits(context.customers(), usage),
        MAXIMUM_DECISIONS);
  }

  /** Returns the requests in the order of the list; by shares if any customer has a weight. */
  private RequestQueue queue(List<PlacementRequest> requests, List<WorkerSnapshot> workers) {
    if (!context.customers().hasWeights()) {
      return RequestQueue.inOrder(requests, preempting);
    }
    Resources capacity = Resources.NONE;
    for (WorkerSnapshot worker : workers) {
      capacity = capacity.plus(worker.capacity());
    }
    return new FairShareQueue(requests, context.customers(), usage, capacity, preempting);
  }

  /**
   * Returns the number of accelerators that urgent jobs use or wait for. No room is kept for what
   * exceeds the limit or the rate of a customer.
   */
  private long urgentAccelerators() {
    Map<String, Long> byCustomer = new HashMap<>();
    for (ActiveJob job : jobs) {
      if (job.priority() == UrgencyRanks.URGENT && !job.isEnding() && !yieldsToOthers(job)) {
        byCustomer.merge(job.submission().customer(), job.outstandingAccelerators(), Long::sum);
      }
    }
    long sum = 0;
    for (Map.Entry<String, Long> wanted : byCustomer.entrySet()) {
      long limit = context.customers().termsOf(wanted.getKey()).limit().accelerators();
      sum += limit == 0 ? wanted.getValue() : Math.min(limit, wanted.getValue());
    }
    return sum;
  }

  private PlacementRequest toRequest(WorkUnit unit) {
    int rank = ranks.rankOf(unit.job().submission());
    JobObjective objective = objectiveOf(unit);
    return new PlacementRequest(
        unit.key(),
        unit.stepKey(),
        unit.job().submission().customer(),
        unit.job().submission().queue().service(),
        rank,
        unit.step(),
        unit.tasks(),
        unit.failedWorkers(),
        stepRunsByWorker(unit),
        context.nowMillis() - unit.readySinceMillis(),
        PreemptionDelay.of(unit.job().submission().queue(), unit.step()),
        endWaitMillis(unit, rank, objective),
        objective,
        tierOf(unit),
        unit.isOnLastAttempt());
  }

  /** Returns until when the completion of a unit's job is worth something. */
  JobObjective objectiveOf(WorkUnit unit) {
    return units.objectiveOf(unit);
  }

  /** Returns what waiting costs; work within a guarantee is due at any rate. */
  ServiceTier tierOf(WorkUnit unit) {
    ServiceTier tier = units.tierOf(unit);
    boolean yields = tier != ServiceTier.HOPELESS && yieldsToOthers(unit.job());
    return yields ? ServiceTier.OVER_RATE : tier;
  }

  /** Returns whether a job exceeds its customer's rate; work within a guarantee is always due. */
  private boolean yieldsToOthers(ActiveJob job) {
    return job.isOverRate() && ranks.rankOf(job.submission()) != UrgencyRanks.GUARANTEED;
  }

  private long endWaitMillis(WorkUnit unit, int rank, JobObjective objective) {
    return PreemptionDelay.endWaitMillis(
        rank,
        objective,
        unit.job().ageMillis(unit.occurrence(), context.nowMillis()),
        context.settings().reclaimMillis(),
        context.settings().maximumStopMillis());
  }

  /**
   * Returns the runs of a step on each worker, which are counted once a round for all its units.
   */
  private Map<String, Integer> stepRunsByWorker(WorkUnit unit) {
    if (unit.step().maximumPerWorker() == 0) {
      return Map.of();
    }
    return runsByStep.computeIfAbsent(
        unit.stepKey(), key -> unit.job().runsByWorker(unit.occurrence(), unit.stepIndex()));
  }

  private List<WorkerSnapshot> snapshots() {
    List<WorkerSnapshot> snapshots = new ArrayList<>();
    for (WorkerSession session : sessions.values()) {
      WorkerRegistration worker = session.registration();
      boolean usable =
          session.isAvailable()
              && !worker.draining()
              && !context.rules().isOutOfService(worker.failureDomain());
      if (usable) {
        snapshots.add(snapshot(session));
      }
    }
    return snapshots;
  }

  private WorkerSnapshot snapshot(WorkerSession session) {
    List<WorkerSnapshot.Allocation> allocations = new ArrayList<>();
    for (Member member : session.members()) {
      allocations.add(allocation(member));
    }
    WorkerRegistration worker = session.registration();
    return new WorkerSnapshot(
        worker.id(),
        worker.service(),
        worker.rack(),
        worker.labels(),
        health.conditionOf(worker.id()),
        paces.speedOf(session),
        worker.capacity(),
        allocations);
  }

  private WorkerSnapshot.Allocation allocation(Member member) {
    WorkUnit unit = member.unit();
    int rank = ranks.rankOf(unit.job().submission());
    long cost =
        PreemptionCost.of(unit.step(), unit.tasks(), member.runTimeMillis(context.nowMillis()));
    boolean isProtected = rank <= UrgencyRanks.URGENT || unit.step().endless();
    return new WorkerSnapshot.Allocation(
        unit.key(),
        unit.step().endless() ? UrgencyRanks.NOT_PREEMPTIBLE : rank,
        unit.step().demand(),
        member.run().isAborting(),
        isProtected ? cost * PROTECTED_COST_FACTOR : cost,
        unit.job().submission().customer(),
        remainingMillis(member.run()),
        unit.displacements(),
        rank == UrgencyRanks.GUARANTEED,
        unit.step().requiredLabel());
  }

  /** Returns when the last member of a run ends, as the members of a gang end together. */
  private long remainingMillis(ActiveRun run) {
    if (run.unit().isDone()) {
      return 0;
    }
    return remainingMillisByRun.computeIfAbsent(
        run,
        key ->
            key.members().stream()
                .filter(each -> !each.isResolved())
                .mapToLong(paces::remainingMillis)
                .max()
                .orElse(0));
  }
}
