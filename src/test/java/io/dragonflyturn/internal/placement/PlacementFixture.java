package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.PlacementRule;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Creates small fleets, customers and jobs for tests of the placement policy. */
final class PlacementFixture {
  static final Instant NOW = Instant.parse("2026-01-01T10:00:00Z");

  private PlacementFixture() {}

  /**
   * Returns workers with eight accelerators each, in failure domains named a, b, c and so on.
   *
   * @param racks the number of racks in each failure domain
   */
  static List<Worker> workers(int domains, int racks, int workersPerRack) {
    List<Worker> workers = new ArrayList<>();
    for (int domain = 0; domain < domains; domain++) {
      String domainName = String.valueOf((char) ('a' + domain));
      for (int rack = 0; rack < racks; rack++) {
        for (int index = 0; index < workersPerRack; index++) {
          String name = domainName + rack + "-" + index;
          workers.add(
              new Worker(
                  name, "127.0.0.1:1", domainName, "r" + rack, 8, 30, 60_000, 8, false, Map.of()));
        }
      }
    }
    return workers;
  }

  static FailureDomain domain(String name, ServiceState state) {
    return new FailureDomain(name, "home", state, NOW.toEpochMilli(), 60_000, Map.of());
  }

  static Customer customer(String name, Shape... guarantees) {
    return new Customer(name, List.of(guarantees), 0, Map.of("tier", name));
  }

  static Configuration configuration(List<Customer> customers, List<FailureDomain> domains) {
    return new Configuration(customers, domains, Map.of(), List.of());
  }

  static Configuration withRules(Configuration base, PlacementRule... rules) {
    return new Configuration(
        base.customers(), base.failureDomains(), base.instanceLabels(), List.of(rules));
  }

  static List<FailureDomain> inService(String... names) {
    return List.of(names).stream().map(name -> domain(name, ServiceState.IN_SERVICE)).toList();
  }

  static Shape singleMember(int accelerators) {
    return new Shape(1, accelerators, Span.WORKER);
  }

  static JobSpecification job(String id, String customer, Shape shape) {
    return new JobSpecification(
        id, customer, shape, Urgency.NORMAL, true, true, 60, Map.of("kind", "charge"));
  }

  static JobSpecification urgent(String id, String customer, Shape shape) {
    return new JobSpecification(
        id, customer, shape, Urgency.URGENT, true, true, 60, Map.of("kind", "charge"));
  }

  static JobSpecification nonStoppable(String id, String customer, Shape shape) {
    return new JobSpecification(
        id, customer, shape, Urgency.NORMAL, false, false, 60, Map.of("kind", "charge"));
  }

  static JobView queued(JobSpecification specification) {
    return JobView.submitted(specification, NOW.minusSeconds(10));
  }

  static JobView allocated(
      JobSpecification specification,
      double attainedAcceleratorSeconds,
      MemberPlacement... placements) {
    return new JobView(
        specification,
        AllocationPhase.ALLOCATED,
        1,
        List.of(placements),
        NOW.minusSeconds(600),
        NOW.minusSeconds(300),
        attainedAcceleratorSeconds,
        300,
        290,
        List.of());
  }

  static MemberPlacement wholeWorker(int member, String worker) {
    return new MemberPlacement(member, worker, List.of(0, 1, 2, 3, 4, 5, 6, 7));
  }

  static FleetView view(Configuration configuration, List<Worker> workers, JobView... jobs) {
    return new FleetView(
        configuration, workers.stream().map(WorkerView::healthy).toList(), List.of(jobs));
  }
}
