package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Counts violations of scheduling invariants, independently of the policy's own bookkeeping:
 * accelerators allocated twice, incomplete gangs, starts in a failure domain that is out of
 * service, and jobs within a customer's guarantee that wait too long.
 */
final class InvariantAuditor {
  private static final long GUARANTEE_WAIT_LIMIT_MILLIS = 5_000;

  private final Map<String, Worker> workers = new HashMap<>();
  private final Map<String, Long> allocated = new HashMap<>();
  private final Map<String, Long> entitledSinceMillis = new HashMap<>();
  private final Set<String> lateJobs = new HashSet<>();
  private final Map<String, Integer> violations = new HashMap<>();

  InvariantAuditor(Collection<Worker> listed) {
    listed.forEach(worker -> workers.put(worker.name(), worker));
  }

  /** Returns the number of violations by kind. */
  Map<String, Integer> violations() {
    return violations;
  }

  long allocatedMask(String worker) {
    return allocated.getOrDefault(worker, 0L);
  }

  void recordStart(
      SimulatedJob job, List<MemberPlacement> placements, Configuration configuration) {
    Set<String> groups = new HashSet<>();
    Shape shape = job.scenarioJob.specification().shape();
    boolean isComplete = placements.size() == shape.members();
    for (MemberPlacement placement : placements) {
      Worker worker = Objects.requireNonNull(workers.get(placement.worker()));
      long mask = FirstFitPlacer.mask(placement);
      if ((allocatedMask(placement.worker()) & mask) != 0) {
        recordViolation("accelerator allocated twice");
      }
      allocated.merge(placement.worker(), mask, (left, right) -> left | right);
      isComplete &= placement.accelerators().size() == shape.acceleratorsPerMember();
      groups.add(FirstFitPlacer.groupOf(worker, shape.span()));
      if (isOutOfService(worker.failureDomain(), configuration)) {
        recordViolation("start in a failure domain that is out of service");
      }
    }
    if (!isComplete || groups.size() != 1) {
      recordViolation("gang incomplete");
    }
  }

  void recordRelease(SimulatedJob job) {
    for (MemberPlacement placement : job.placements) {
      allocated.merge(
          placement.worker(), FirstFitPlacer.mask(placement), (left, right) -> left & ~right);
    }
  }

  /** Detects jobs within a guarantee that wait longer than the limit. */
  void sample(long nowMillis, Collection<SimulatedJob> jobs, Configuration configuration) {
    Map<String, List<SimulatedJob>> byCustomer = new HashMap<>();
    for (SimulatedJob job : jobs) {
      byCustomer
          .computeIfAbsent(job.scenarioJob.specification().customer(), name -> new ArrayList<>())
          .add(job);
    }
    Set<String> entitled = new HashSet<>();
    for (Customer customer : configuration.customers()) {
      addEntitled(entitled, customer, byCustomer.getOrDefault(customer.name(), List.of()));
    }
    entitledSinceMillis.keySet().retainAll(entitled);
    for (String id : entitled) {
      long sinceMillis = entitledSinceMillis.computeIfAbsent(id, key -> nowMillis);
      if (nowMillis - sinceMillis > GUARANTEE_WAIT_LIMIT_MILLIS && lateJobs.add(id)) {
        recordViolation("guarantee not met in time");
      }
    }
  }

  private static void addEntitled(
      Set<String> entitled, Customer customer, List<SimulatedJob> jobs) {
    List<Shape> unassignedShapes = new ArrayList<>(customer.guarantees());
    unassignedShapes.sort(Comparator.comparingInt(Shape::accelerators));
    int allocatedAccelerators = 0;
    for (SimulatedJob job : jobs) {
      if (job.phase != AllocationPhase.QUEUED) {
        allocatedAccelerators += job.accelerators();
        assignToGuarantee(unassignedShapes, job.scenarioJob.specification().shape());
      }
    }
    for (SimulatedJob job : jobs) {
      boolean isWaiting = job.phase == AllocationPhase.QUEUED && job.scenarioJob.canComplete();
      boolean withinGuarantee =
          allocatedAccelerators + job.accelerators() <= customer.guaranteedAccelerators();
      boolean hasNotFailed = job.failedWorkers.isEmpty();
      if (isWaiting
          && withinGuarantee
          && hasNotFailed
          && assignToGuarantee(unassignedShapes, job.scenarioJob.specification().shape())) {
        allocatedAccelerators += job.accelerators();
        entitled.add(job.id());
      }
    }
  }

  private static boolean assignToGuarantee(List<Shape> unassignedShapes, Shape job) {
    for (Shape shape : unassignedShapes) {
      boolean spanFits = shape.members() == 1 || shape.span().compareTo(job.span()) <= 0;
      if (job.members() <= shape.members()
          && job.acceleratorsPerMember() <= shape.acceleratorsPerMember()
          && spanFits) {
        unassignedShapes.remove(shape);
        return true;
      }
    }
    return false;
  }

  private static boolean isOutOfService(String name, Configuration configuration) {
    return configuration.failureDomains().stream()
        .filter(domain -> domain.name().equals(name))
        .anyMatch(domain -> !domain.acceptsStarts());
  }

  static Set<String> domainsInService(Configuration configuration) {
    Set<String> inService = new HashSet<>();
    for (FailureDomain domain : configuration.failureDomains()) {
      if (domain.acceptsStarts()) {
        inService.add(domain.name());
      }
    }
    return inService;
  }

  private void recordViolation(String kind) {
    violations.merge(kind, 1, Integer::sum);
  }
}
