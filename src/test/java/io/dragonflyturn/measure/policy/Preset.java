package io.dragonflyturn.measure.policy;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** A predefined fleet with its customers and the parameters of the generated load. */
enum Preset {
  COOPERATIVE("cooperative", "salamanca north-hobart glenorchy kingston", 30, 6),
  BRUNNER("brunner", "sawmill drying-kiln dispatch", 30, 8),
  DESIGN_SIZE("design-size", "domain-1 domain-2 domain-3 domain-4", 1_300, 8);

  static final int ACCELERATORS_PER_WORKER = 8;
  private static final int DESIGN_SIZE_CUSTOMERS = 45;
  private static final int PROCESSORS = 30;
  private static final long MEMORY_MEGABYTES = 60_000;
  private static final int REQUEST_SLOTS = 8;

  private final String label;
  private final String domains;
  private final int workers;
  private final int workersPerRack;

  Preset(String label, String domains, int workers, int workersPerRack) {
    this.label = label;
    this.domains = domains;
    this.workers = workers;
    this.workersPerRack = workersPerRack;
  }

  static Preset of(String label) {
    for (Preset preset : values()) {
      if (preset.label.equals(label)) {
        return preset;
      }
    }
    throw new IllegalArgumentException(
        "unknown preset " + label + "; use cooperative, brunner, or design-size");
  }

  String label() {
    return label;
  }

  boolean isLarge() {
    return this == DESIGN_SIZE;
  }

  /** Returns the length of the period in which jobs arrive, in seconds. */
  int arrivalSeconds() {
    return isLarge() ? 1_200 : 7_200;
  }

  /** Returns the median run time of the jobs, in seconds. */
  double medianRunSeconds() {
    return isLarge() ? 90 : 60;
  }

  /** Returns the delay between a change and the plan that reacts to it, in milliseconds. */
  long planDelayMillis() {
    return isLarge() ? 250 : 50;
  }

  int accelerators() {
    return workers * ACCELERATORS_PER_WORKER;
  }

  /** Returns the number of members of the largest gangs. */
  int largestGangMembers() {
    return isLarge() ? 64 : 6;
  }

  List<String> domains() {
    return List.of(domains.split(" "));
  }

  List<Worker> buildWorkers() {
    List<String> names = domains();
    List<Worker> built = new ArrayList<>();
    for (int index = 0; index < workers; index++) {
      String domain = names.get(index % names.size());
      int rack = index / names.size() / workersPerRack;
      built.add(
          new Worker(
              "%s-%04d".formatted(domain, index / names.size()),
              "127.0.0.1:1",
              domain,
              "rack-" + rack,
              ACCELERATORS_PER_WORKER,
              PROCESSORS,
              MEMORY_MEGABYTES,
              REQUEST_SLOTS,
              false,
              Map.of()));
    }
    return built;
  }

  Configuration buildConfiguration() {
    List<FailureDomain> built =
        domains().stream()
            .map(name -> new FailureDomain(name, "home", ServiceState.IN_SERVICE, 0, 0, Map.of()))
            .toList();
    return new Configuration(buildCustomers(), built, Map.of(), List.of());
  }

  private List<Customer> buildCustomers() {
    if (isLarge()) {
      return IntStream.range(0, DESIGN_SIZE_CUSTOMERS).mapToObj(Preset::buildTeam).toList();
    }
    Shape worker = new Shape(1, ACCELERATORS_PER_WORKER, Span.WORKER);
    Shape rackOfFour = new Shape(4, ACCELERATORS_PER_WORKER, Span.RACK);
    Shape half = new Shape(1, ACCELERATORS_PER_WORKER / 2, Span.WORKER);
    return List.of(
        new Customer("large-1", List.of(rackOfFour, worker, half), 0, Map.of("size", "large")),
        new Customer("large-2", List.of(rackOfFour, worker, half), 0, Map.of("size", "large")),
        new Customer("small-1", List.of(worker, half), 0, Map.of("size", "small")),
        new Customer("small-2", List.of(half, half), 0, Map.of("size", "small")));
  }

  private static Customer buildTeam(int index) {
    Shape worker = new Shape(1, ACCELERATORS_PER_WORKER, Span.WORKER);
    Shape rackOfFour = new Shape(4, ACCELERATORS_PER_WORKER, Span.RACK);
    Shape gang = new Shape(32, ACCELERATORS_PER_WORKER, Span.FAILURE_DOMAIN);
    String name = "team-%02d".formatted(index);
    if (index < 5) {
      return new Customer(
          name, List.of(gang, rackOfFour, rackOfFour, worker), 2_400, Map.of("size", "large"));
    }
    return new Customer(name, List.of(rackOfFour, worker, worker), 1_600, Map.of("size", "small"));
  }
}
