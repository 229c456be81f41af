package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What found no room earlier in a round, so that nothing of the same kind that asks for as much is
 * tried again in it.
 *
 * <p>Answers steps of many tasks on a full fleet: thousands wait, and the answer is the same for
 * all of them. Room only shrinks within a round, and requests come in their order of urgency, so
 * what found none once finds none later.
 */
final class InfeasibleRequests {
  private final Map<Scope, List<Resources>> infeasibleDemands = new HashMap<>();

  /** Remembers that a task of a request found no room, even by stopping others. */
  void add(PlacementRequest request) {
    boolean others = request.tasks() > 1 || !request.failedWorkers().isEmpty();
    if (!others) {
      infeasibleDemands
          .computeIfAbsent(scope(request), scope -> new ArrayList<>())
          .add(request.step().demand());
    }
  }

  /** Says whether a request cannot find room because another one that asked for less did not. */
  boolean isInfeasible(PlacementRequest request) {
    return containsSmaller(scope(request), request) || containsSmaller(serviceScope(request), request);
  }

  private boolean containsSmaller(Scope scope, PlacementRequest request) {
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

  /** What decides which workers a request may use; a text is empty where it sets no limit. */
  private record Scope(String service, String label, String step, String rack) {}
}
