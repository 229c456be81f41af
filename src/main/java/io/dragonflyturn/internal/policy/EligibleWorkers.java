package io.dragonflyturn.internal.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the workers that may run a unit. Answers the load of a job of thousands of tasks, for each
 * of which all workers were looked at again: which workers match the tasks is found out once a
 * round.
 *
 * <p>The service and the label are rules. All else is a preference: unhealthy workers, workers on
 * which the unit failed, and for its last attempt workers that are not proven are used after the
 * others, once the unit has waited for these for long enough, or if it could never run there.
 * Workers that are reserved for urgent jobs are left to these while the others are in use.
 */
final class EligibleWorkers {
  /** How long a last attempt waits for proven workers. */
  static final long PROVEN_WAIT_MILLIS = 2_000;

  /**
   * Holds for as long as a worker counts as unhealthy, which ends by itself some seconds after its
   * last failure.
   */
  private static final PlacementFilter HEALTHY = new PlacementFilter.Preference(Long.MAX_VALUE);

  /** As long as a failure counts as evidence against a worker. */
  private static final PlacementFilter NOT_FAILED = new PlacementFilter.Preference(6_000);

  /** The same, for the last failure of any unit. */
  private static final PlacementFilter NOT_SUSPECT = new PlacementFilter.Preference(6_000);

  /** Less than a job may be without a run that has room elsewhere. */
  private static final PlacementFilter PROVEN = new PlacementFilter.Preference(PROVEN_WAIT_MILLIS);

  private static final PlacementFilter SERVICE_AND_LABEL = new PlacementFilter.Rule();

  /** How long a unit leaves reserved workers alone while the others are hardly used. */
  private static final long RESERVED_WAIT_MILLIS = 2_000;

  /** The share of the other workers' room that is in use while reserved workers are left alone. */
  private static final double USED_SHARE = 0.5;

  private final WorkerGroup all;
  private final Set<String> reservedForUrgent;
  private final Map<Scope, WorkerGroup> matchingByScope = new HashMap<>();
  private final Map<Failures, WorkerGroup> notFailed = new HashMap<>();

  /**
   * Creates a search that has found nothing yet.
   *
   * @param candidates all workers of the round
   * @param reservedForUrgent the identifiers of workers that other jobs use only if they could not
   *     run elsewhere
   */
  EligibleWorkers(Collection<Candidate> candidates, Set<String> reservedForUrgent) {
    this.all = new WorkerGroup(List.copyOf(candidates));
    this.reservedForUrgent = reservedForUrgent;
  }

  /** Returns the workers on which a unit is placed now. */
  WorkerGroup of(PlacementRequest request) {
    WorkerGroup matching = SERVICE_AND_LABEL.apply(request, all, matching(request));
    WorkerGroup healthy = HEALTHY.apply(request, matching, matching.healthy());
    WorkerGroup notFailed = NOT_FAILED.apply(request, healthy, notFailed(request, healthy));
    WorkerGroup safest = request.lastAttempt() ? forLastAttempt(request, notFailed) : notFailed;
    return excludeReserved(request, safest);
  }

  /** Where no worker is proven that could run the unit, suspect ones are no worse than others. */
  private static WorkerGroup forLastAttempt(PlacementRequest request, WorkerGroup workers) {
    if (!PlaceSearch.fitsWhenEmpty(request, workers.proven().workers())) {
      return workers;
    }
    WorkerGroup unsuspected = NOT_SUSPECT.apply(request, workers, workers.unsuspected());
    return PROVEN.apply(request, unsuspected, unsuspected.proven());
  }

  private WorkerGroup matching(PlacementRequest request) {
    Scope scope = new Scope(request.service(), request.step().requiredLabel());
    return matchingByScope.computeIfAbsent(
        scope, key -> all.only(candidate -> candidate.matches(request)));
  }

  private WorkerGroup notFailed(PlacementRequest request, WorkerGroup workers) {
    if (request.failedWorkers().isEmpty()) {
      return workers;
    }
    return notFailed.computeIfAbsent(
        new Failures(workers, request.failedWorkers()),
        key -> workers.only(each -> !request.failedWorkers().contains(each.id())));
  }

  /**
   * Removes workers that are reserved for urgent jobs, unless the unit could not run without them
   * for as long as the urgent jobs that are running now, or has waited while the other workers were
   * hardly used: then it is their pieces of room that are too small.
   */
  private WorkerGroup excludeReserved(PlacementRequest request, WorkerGroup eligible) {
    boolean urgent = request.rank() <= UrgencyRanks.URGENT && !request.exceedsRate();
    if (urgent || reservedForUrgent.isEmpty()) {
      return eligible;
    }
    WorkerGroup others = eligible.without(reservedForUrgent);
    if (!PlaceSearch.fits(request, others.workers(), Candidate::capacityBesideUrgentRuns)) {
      return eligible;
    }
    boolean isWaitOver =
        request.waitedMillis() >= RESERVED_WAIT_MILLIS && others.usedShare() < USED_SHARE;
    return isWaitOver && !PlaceSearch.fitsNow(request, others.workers()) ? eligible : others;
  }

  /** What determines which workers match a unit. */
  private record Scope(String service, String label) {}

  /**
   * Workers of which those are left out on which a unit failed; groups are the same by identity.
   */
  private record Failures(WorkerGroup workers, Set<String> failedWorkers) {}
}
