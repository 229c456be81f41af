package io.dragonflyturn.internal.state;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Worker;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that the proposed placements cover the whole gang, and that the workers are eligible and
 * the accelerators free. An instance checks one proposal.
 */
final class PlacementCheck {
  private final WorkerTable workers;
  private final Configuration configuration;
  private final Map<String, BitSet> assigned = new HashMap<>();

  PlacementCheck(WorkerTable workers, Configuration configuration) {
    this.workers = workers;
    this.configuration = configuration;
  }

  Decision check(Shape shape, List<MemberPlacement> placements) {
    if (placements.size() != shape.members()) {
      return Decision.conflict("The number of placements differs from the number of gang members.");
    }
    Set<Integer> members = new HashSet<>();
    Set<String> spanKeys = new HashSet<>();
    for (MemberPlacement placement : placements) {
      boolean inRange = placement.member() >= 0 && placement.member() < shape.members();
      if (!inRange || !members.add(placement.member())) {
        return Decision.conflict("A member is placed twice, or its index is out of range.");
      }
      Decision memberCheck = checkMember(shape, placement, spanKeys);
      if (!memberCheck.accepted()) {
        return memberCheck;
      }
    }
    return spanKeys.size() > 1
        ? Decision.conflict("The placements exceed the span of the gang.")
        : Decision.ACCEPTED;
  }

  private Decision checkMember(Shape shape, MemberPlacement placement, Set<String> spanKeys) {
    Worker worker = workers.find(placement.worker());
    if (worker == null) {
      return Decision.conflict("Worker " + placement.worker() + " is not listed.");
    }
    Decision eligibility = checkEligibility(worker);
    if (!eligibility.accepted()) {
      return eligibility;
    }
    spanKeys.add(spanKey(shape, worker));
    return checkAccelerators(shape, worker, placement.accelerators());
  }

  private Decision checkEligibility(Worker worker) {
    if (worker.leaving()) {
      return Decision.conflict("Worker " + worker.name() + " is leaving.");
    }
    if (workers.quarantine().containsKey(worker.name())) {
      return Decision.conflict("Worker " + worker.name() + " is in quarantine.");
    }
    for (FailureDomain domain : configuration.failureDomains()) {
      if (domain.name().equals(worker.failureDomain())) {
        return domain.acceptsStarts()
            ? Decision.ACCEPTED
            : Decision.conflict("Failure domain " + domain.name() + " is out of service.");
      }
    }
    return Decision.conflict("Failure domain " + worker.failureDomain() + " is not configured.");
  }

  private static String spanKey(Shape shape, Worker worker) {
    return switch (shape.span()) {
      case WORKER -> worker.name();
      case RACK -> worker.failureDomain() + "/" + worker.rack();
      case FAILURE_DOMAIN -> worker.failureDomain();
      case REGION -> "";
    };
  }

  private Decision checkAccelerators(Shape shape, Worker worker, List<Integer> accelerators) {
    if (accelerators.size() != shape.acceleratorsPerMember()) {
      return Decision.conflict(
          "A member has the wrong number of accelerators for the shape of the gang.");
    }
    BitSet assignedOnWorker = assigned.computeIfAbsent(worker.name(), name -> new BitSet());
    int lowest = Integer.MAX_VALUE;
    int highest = Integer.MIN_VALUE;
    for (int accelerator : accelerators) {
      boolean exists = accelerator >= 0 && accelerator < worker.accelerators();
      if (!exists
          || assignedOnWorker.get(accelerator)
          || workers.isHeld(worker.name(), accelerator)) {
        return Decision.conflict(
            "Accelerator " + accelerator + " of " + worker.name() + " is not free.");
      }
      assignedOnWorker.set(accelerator);
      lowest = Math.min(lowest, accelerator);
      highest = Math.max(highest, accelerator);
    }
    boolean adjacent = accelerators.isEmpty() || highest - lowest + 1 == accelerators.size();
    return adjacent
        ? Decision.ACCEPTED
        : Decision.conflict("The accelerators of a member are not adjacent.");
  }
}
