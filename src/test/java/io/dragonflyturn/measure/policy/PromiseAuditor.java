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
 * Counts broken promises without asking the policy: accelerators given twice, gangs that are not
 * whole, starts in a failure domain that is out, and jobs within a customer's guarantee that wait
 * longer than the bound.
 */
final class PromiseAuditor {
  private static final long GUARANTEE_WAIT_MILLIS = 5_000;

  private final Map<String, Worker> workers = new HashMap<>();
  private final Map<String, Long> held = new HashMap<>();
  private final Map<String, Long> entitledSince = new HashMap<>();
  private final Set<String> lateJobs = new HashSet<>();
  private final Map<String, Integer> broken = new HashMap<>();

  PromiseAuditor(Collection<Worker> listed) {
    listed.forEach(worker -> workers.put(worker.name(), worker));
  }

  /** Returns the number of broken promises by kind. */
  Map<String, Integer> broken() {
    return broken;
  }

  long heldMask(String worker) {
    return held.getOrDefault(worker, 0L);
  }

  void started(PoolJob job, List<MemberPlacement> placements, Configuration configuration) {
    Set<String> groups = new HashSet<>();
    Shape shape = job.truth.specification().shape();
    boolean whole = placements.size() == shape.members();
    for (MemberPlacement place : placements) {
      Worker worker = Objects.requireNonNull(workers.get(place.worker()));
      long mask = FirstFitPlacer.mask(place);
      if ((heldMask(place.worker()) & mask) != 0) {
        count("accelerator held twice");
      }
      held.merge(place.worker(), mask, (left, right) -> left | right);
      whole &= place.accelerators().size() == shape.acceleratorsPerMember();
      groups.add(FirstFitPlacer.groupOf(worker, shape.span()));
      if (isOut(worker.failureDomain(), configuration)) {
        count("start in a domain that is out");
      }
    }
    if (!whole || groups.size() != 1) {
      count("gang not whole");
    }
  }

  void released(PoolJob job) {
    for (MemberPlacement place : job.placements) {
      held.merge(place.worker(), FirstFitPlacer.mask(place), (left, right) -> left & ~right);
    }
  }

  /** Looks for jobs within a guarantee that wait too long. */
  void sample(long now, Collection<PoolJob> jobs, Configuration configuration) {
    Map<String, List<PoolJob>> byCustomer = new HashMap<>();
    for (PoolJob job : jobs) {
      byCustomer
          .computeIfAbsent(job.truth.specification().customer(), name -> new ArrayList<>())
          .add(job);
    }
    Set<String> entitled = new HashSet<>();
    for (Customer customer : configuration.customers()) {
      addEntitled(entitled, customer, byCustomer.getOrDefault(customer.name(), List.of()));
    }
    entitledSince.keySet().retainAll(entitled);
    for (String id : entitled) {
      long since = entitledSince.computeIfAbsent(id, key -> now);
      if (now - since > GUARANTEE_WAIT_MILLIS && lateJobs.add(id)) {
        count("guarantee not given in time");
      }
    }
  }

  private static void addEntitled(Set<String> entitled, Customer customer, List<PoolJob> jobs) {
    List<Shape> open = new ArrayList<>(customer.guarantees());
    open.sort(Comparator.comparingInt(Shape::accelerators));
    int held = 0;
    for (PoolJob job : jobs) {
      if (job.phase != AllocationPhase.QUEUED) {
        held += job.accelerators();
        assign(open, job.truth.specification().shape());
      }
    }
    for (PoolJob job : jobs) {
      boolean waits = job.phase == AllocationPhase.QUEUED && job.truth.isSound();
      boolean within = held + job.accelerators() <= customer.guaranteedAccelerators();
      boolean untried = job.failedWorkers.isEmpty();
      if (waits && within && untried && assign(open, job.truth.specification().shape())) {
        held += job.accelerators();
        entitled.add(job.id());
      }
    }
  }

  private static boolean assign(List<Shape> open, Shape job) {
    for (Shape shape : open) {
      boolean narrow = shape.members() == 1 || shape.span().compareTo(job.span()) <= 0;
      if (job.members() <= shape.members()
          && job.acceleratorsPerMember() <= shape.acceleratorsPerMember()
          && narrow) {
        open.remove(shape);
        return true;
      }
    }
    return false;
  }

  private static boolean isOut(String name, Configuration configuration) {
    return configuration.failureDomains().stream()
        .filter(domain -> domain.name().equals(name))
        .anyMatch(domain -> !domain.acceptsStarts());
  }

  static Set<String> openDomains(Configuration configuration) {
    Set<String> open = new HashSet<>();
    for (FailureDomain domain : configuration.failureDomains()) {
      if (domain.acceptsStarts()) {
        open.add(domain.name());
      }
    }
    return open;
  }

  private void count(String kind) {
    broken.merge(kind, 1, Integer::sum);
  }
}
