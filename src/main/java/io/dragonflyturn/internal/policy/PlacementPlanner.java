package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.PlacementPlan.PlacedUnit;
import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Plans on which workers waiting units run. The plan depends only on the arguments: the same
 * workers and requests always give the same plan.
 *
 * <p>Requests are planned in the order of their queue. If the tasks of a unit do not all fit, the
 * unit may preempt runs of less urgent jobs, as {@link PreemptionPlanner} decides.
 *
 * <p>Where some workers fail all that they start, suspect workers are used last, and the last
 * attempt of a unit waits a little for proven workers, whose room is kept for it.
 */
public final class PlacementPlanner {
  private final Map<String, Candidate> candidatesById = new LinkedHashMap<>();
  private final List<PlacedUnit> placed = new ArrayList<>();
  private final Map<String, WaitCause> waiting = new LinkedHashMap<>();
  private final EligibleWorkers eligibleWorkers;
  private final FreeWorkers freeWorkers;
  private final boolean hasSuspects;
  private final InfeasibleRequests infeasible = new InfeasibleRequests();

  /** The requests over their customer's rate that do not fit without preemption. */
  private final InfeasibleRequests infeasibleOverRate = new InfeasibleRequests();

  private final PreemptionPlanner preemption;
  private final CustomerLimits limits;
  private int searches;

  private PlacementPlanner(
      Collection<WorkerSnapshot> workers,
      Set<String> reservedForUrgent,
      CustomerLimits limits,
      FreeWorkers freeWorkers) {
    this.limits = limits;
    this.freeWorkers = freeWorkers;
    this.hasSuspects =
        workers.stream().anyMatch(worker -> worker.condition() == WorkerCondition.SUSPECT);
    workers.forEach(worker -> candidatesById.put(worker.id(), new Candidate(worker)));
    this.eligibleWorkers = new EligibleWorkers(candidatesById.values(), reservedForUrgent);
    this.preemption = new PreemptionPlanner(candidatesById.values());
  }

  /** Plans placements for all requests, of customers without limits. */
  public static PlacementPlan plan(
      Collection<WorkerSnapshot> workers, Set<String> reservedForUrgent, RequestQueue requests) {
    return plan(workers, reservedForUrgent, requests, CustomerLimits.unlimited());
  }

  /**
   * Plans placements for all requests.
   *
   * @param workers the usable workers with their current allocations
   * @param reservedForUrgent the identifiers of workers that other jobs use only if they could not
   *     run elsewhere
   * @param requests the waiting units, which are served one after the other
   * @param limits what customers may use; a unit that exceeds a limit preempts and reserves nothing
   * @return the units to place and to preempt
   */
  public static PlacementPlan plan(
      Collection<WorkerSnapshot> workers,
      Set<String> reservedForUrgent,
      RequestQueue requests,
      CustomerLimits limits) {
    return plan(workers, reservedForUrgent, requests, limits, Integer.MAX_VALUE);
  }

  /**
   * Plans placements until enough is decided. What is decided is the same as without a limit; the
   * units that are left belong into the next round, which serves the most urgent ones first again.
   *
   * @param limits what customers may use; a unit that exceeds a limit preempts and reserves nothing
   * @param maximumDecisions the number of units placed and preempted after which no further unit is
   *     planned; only a unit that preempts several others exceeds it
   */
  public static PlacementPlan plan(
      Collection<WorkerSnapshot> workers,
      Set<String> reservedForUrgent,
      RequestQueue requests,
      CustomerLimits limits,
      int maximumDecisions) {
    return plan(workers, reservedForUrgent, requests, limits, maximumDecisions, new BestWorkers());
  }

  /** Plans placements with the given search for free workers, which must return the same ones. */
  static PlacementPlan plan(
      Collection<WorkerSnapshot> workers,
      Set<String> reservedForUrgent,
      RequestQueue requests,
      CustomerLimits limits,
      int maximumDecisions,
      FreeWorkers freeWorkers) {
    PlacementPlanner planner =
        new PlacementPlanner(workers, reservedForUrgent, limits, freeWorkers);
    boolean cut = planner.planAll(requests, maximumDecisions);
    return new PlacementPlan(
        planner.placed,
        planner.preemption.preempted(),
        planner.waiting,
        planner.preemption.expectedWaitMillis(),
        planner.searches,
        cut);
  }

  /**
   * Plans units until enough is decided. Returns whether units are left.
   *
   * <p>Only decisions count, which the next round does not repeat: units that wait without one
   * would hold up those behind them in each round.
   */
  private boolean planAll(RequestQueue requests, int maximumDecisions) {
    PlacementRequest request = requests.next();
    while (request != null && decisions() < maximumDecisions) {
      if (planUnit(request)) {
        requests.placed(request);
      }
      request = requests.next();
    }
    return request != null;
  }

  private int decisions() {
    return placed.size() + preemption.preempted().size();
  }

  /** Plans the placement of a unit. Returns whether it is placed, or will be after preemptions. */
  private boolean planUnit(PlacementRequest request) {
    if (!limits.allow(request)) {
      waiting.put(request.unitKey(), WaitCause.CUSTOMER_LIMIT);
      return false;
    }
    if (request.exceedsRate() && infeasibleOverRate.isInfeasible(request)) {
      waiting.put(request.unitKey(), WaitCause.OVER_RATE);
      return false;
    }
    if (infeasible.isInfeasible(request)) {
      waiting.put(request.unitKey(), WaitCause.INSUFFICIENT_RESOURCES);
      return false;
    }
    searches++;
    WorkerGroup eligible = eligibleWorkers.of(request);
    if (eligible.workers().isEmpty()) {
      waiting.put(request.unitKey(), WaitCause.NO_ELIGIBLE_WORKER);
      return false;
    }
    List<Candidate> chosen = chooseFree(request, eligible);
    if (chosen != null && waitsForFaster(request, eligible.workers(), chosen)) {
      waiting.put(request.unitKey(), WaitCause.FASTER_WORKERS);
      return false;
    }
    if (chosen != null) {
      chosen.forEach(candidate -> candidate.place(request));
      limits.charge(request);
      placed.add(new PlacedUnit(request.unitKey(), chosen.stream().map(Candidate::id).toList()));
      return true;
    }
    WaitCause cause = waitForResources(request, eligible.workers());
    boolean waitsForProven = request.lastAttempt() && eligible.proven() == eligible;
    if (cause == WaitCause.INSUFFICIENT_RESOURCES && waitsForProven) {
      keepProvenRoom(request, eligible);
      cause = WaitCause.PROVEN_WORKERS;
    }
    waiting.put(request.unitKey(), cause);
    return cause == WaitCause.PREEMPTING;
  }

  /** Reserves what proven workers are expected to free while a last attempt waits for them. */
  private static void keepProvenRoom(PlacementRequest request, WorkerGroup proven) {
    long withinMillis = EligibleWorkers.PROVEN_WAIT_MILLIS - request.waitedMillis();
    List<Candidate> chosen =
        PlaceSearch.choose(request, proven.workers(), each -> each.freeAfterEnds(withinMillis));
    if (chosen != null) {
      chosen.forEach(candidate -> candidate.reserve(request.step().demand()));
    }
  }

  /**
   * Returns whether a unit waits for faster workers than those chosen, and reserves what will be
   * free there.
   */
  private static boolean waitsForFaster(
      PlacementRequest request, List<Candidate> eligible, List<Candidate> chosen) {
    if (chosen.stream().noneMatch(each -> each.grade() == WorkerSpeed.Grade.SLOW)) {
      return false;
    }
    UnevenWorkers uneven = UnevenWorkers.of(request, eligible);
    long waitMillis = uneven == null ? 0 : uneven.waitMillis(chosen);
    if (waitMillis == 0) {
      return false;
    }
    List<Candidate> faster =
        PlaceSearch.chooseOnPreferredRack(
            request, UnevenWorkers.notSlow(eligible), each -> each.freeAfterEnds(waitMillis));
    if (faster == null) {
      return false;
    }
    faster.forEach(candidate -> candidate.reserve(request.step().demand()));
    return true;
  }

  private WaitCause waitForResources(PlacementRequest request, List<Candidate> eligible) {
    if (request.exceedsRate()) {
      infeasibleOverRate.add(request);
      return WaitCause.OVER_RATE;
    }
    WaitCause cause = preemption.plan(request, eligible);
    if (cause == null) {
      infeasible.add(request);
      return WaitCause.INSUFFICIENT_RESOURCES;
    }
    if (cause == WaitCause.PREEMPTING) {
      limits.charge(request);
    }
    return cause;
  }

  /**
   * Returns free workers for all tasks, for a last attempt proven ones and otherwise without
   * suspect ones if possible; null if there are none.
   */
  private @Nullable List<Candidate> chooseFree(PlacementRequest request, WorkerGroup eligible) {
    if (request.lastAttempt()) {
      List<Candidate> chosen = freeWorkers.choose(request, eligible.proven());
      if (chosen != null) {
        return chosen;
      }
    }
    if (hasSuspects) {
      List<Candidate> chosen = freeWorkers.choose(request, eligible.unsuspected());
      if (chosen != null) {
        return chosen;
      }
    }
    return freeWorkers.choose(request, eligible);
  }

  /** Searches a group of workers for the tasks of a unit. */
  @FunctionalInterface
  interface FreeWorkers {
    /**
     * Returns a free worker for each task, as {@link PlaceSearch#choose} does; null if the tasks do
     * not fit or the unit should wait for its preferred rack.
     */
    @Nullable List<Candidate> choose(PlacementRequest request, WorkerGroup group);
  }
}
