package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers requests that could not be satisfied in the current planning round, so that similar
 * requests that need at least as much are skipped.
 *
 * <p>This saves a search of the fleet for each task when it is full and a step has thousands of
 * waiting tasks. Within a round, free resources only shrink and requests are planned in order of
 * urgency, so a demand that did not fit, even with preemption, cannot fit later in the round.
 */
final class InfeasibleRequests {
  private final Map<Scope, List<Resources>> infeasibleDemands = new HashMap<>();

  /**
   * Records that a request does not fit, even with preemption. Requests for several tasks, requests
   * that avoid workers, and last attempts, which may use proven workers only, are ignored, because
   * they say nothing about a single task on any worker.
   */
  void add(PlacementRequest request) {
    boolean isSpecific =
        request.tasks() > 1 || !request.failedWorkers().isEmpty() || request.lastAttempt();
    if (!isSpecific) {
      infeasibleDemands
          .computeIfAbsent(scope(request), scope -> new ArrayList<>())
          .add(request.step().demand());
    }
  }

  /**
   * Returns whether a request cannot fit because a request with the same or a smaller demand did
   * not fit.
   */
  boolean isInfeasible(PlacementRequest request) {
    return containsSmallerDemand(scope(request), request)
        || containsSmallerDemand(serviceScope(request), request);
  }

  private boolean containsSmallerDemand(Scope scope, PlacementRequest request) {
    for (Resources demand : infeasibleDemands.getOrDefault(scope, List.of())) {
      if (request.step().demand().canFit(demand)) {
        return true;
      }
    }
    return false;
  }

  private static Scope scope(PlacementRequest request) {
    Scope serviceScope = serviceScope(request);
    String step = request.step().maximumPerWorker() > 0 ? request.stepKey() : "";
    String rack = request.mayWaitForRack() ? request.step().dataRack() : "";
    return new Scope(serviceScope.service, serviceScope.label, step, rack);
  }

  private static Scope serviceScope(PlacementRequest request) {
    return new Scope(request.service(), request.step().requiredLabel(), "", "");
  }

  /**
   * The constraints that determine which workers a request may use; an empty string means no
   * constraint.
   */
  private record Scope(String service, String label, String step, String rack) {}
}
