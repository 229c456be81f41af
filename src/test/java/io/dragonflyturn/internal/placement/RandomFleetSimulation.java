package io.dragonflyturn.internal.placement;

import io.dragonflyturn.internal.placement.PlacementDecision.RefuseJob;
import io.dragonflyturn.internal.placement.PlacementDecision.StartGang;
import io.dragonflyturn.internal.placement.PlacementDecision.StopGang;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.PlacementRule;
import io.dragonflyturn.model.RuleEffect;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a fleet step by step with random arrivals, completions, failures and failure domain
 * changes, and applies the plans of the policy to it.
 */
final class RandomFleetSimulation {
  private static final List<String> CUSTOMERS = List.of("gold", "silver", "plain");
  private static final int MAXIMUM_STEP_SECONDS = 20;
  private static final int QUOTA_ACCELERATORS = 24;

  private final Random random;
  private final List<Worker> workers;
  private final Map<String, JobView> jobs = new LinkedHashMap<>();
  private final Map<String, List<TaskFailure>> failures = new HashMap<>();
  private final PlacementPolicy policy = new PlacementPolicy();
  private Configuration configuration;
  private Instant now = PlacementFixture.NOW;
  private int submittedJobs;

  RandomFleetSimulation(long seed) {
    random = new Random(seed);
    workers = PlacementFixture.workers(3, 1 + random.nextInt(2), 2 + random.nextInt(2));
    List<Customer> customers =
        List.of(
            PlacementFixture.customer("gold", new Shape(2, 8, Span.RACK)),
            new Customer(
                "silver",
                List.of(PlacementFixture.singleMember(8)),
                QUOTA_ACCELERATORS,
                Map.of("tier", "silver")),
            PlacementFixture.customer("plain"));
    PlacementRule rule =
        new PlacementRule("keep-off", RuleEffect.MUST_NOT, "", "kind=dirty", "", "rack=r0");
    configuration =
        PlacementFixture.withRules(
            PlacementFixture.configuration(customers, PlacementFixture.inService("a", "b", "c")),
            rule);
  }

  Configuration configuration() {
    return configuration;
  }

  List<Worker> workers() {
    return workers;
  }

  Map<String, JobView> jobs() {
    return jobs;
  }

  Instant now() {
    return now;
  }

  /** Advances the fleet by one random step and returns the view for the next plan. */
  FleetView nextView() {
    now = now.plusSeconds(1 + random.nextInt(MAXIMUM_STEP_SECONDS));
    for (JobView job : List.copyOf(jobs.values())) {
      advanceJob(job);
    }
    for (int count = random.nextInt(4); count > 0; count--) {
      JobSpecification specification = specification();
      jobs.put(specification.id(), JobView.submitted(specification, now));
    }
    if (random.nextInt(4) == 0) {
      changeDomain();
    }
    List<WorkerView> views =
        workers.stream()
            .map(
                worker ->
                    new WorkerView(
                        worker, false, null, failures.getOrDefault(worker.name(), List.of()), null))
            .toList();
    return new FleetView(configuration, views, List.copyOf(jobs.values()));
  }

  Plan plan(FleetView view) {
    return policy.plan(view, now);
  }

  /** Applies a plan to the fleet as the scheduler would. */
  void apply(Plan plan) {
    for (PlacementDecision decision : plan.decisions()) {
      switch (decision) {
        case StartGang start ->
            replace(
                start.jobId(), AllocationPhase.ALLOCATED, start.attempt(), start.placements(), now);
        case StopGang stop -> {
          JobView job = job(stop.jobId());
          replace(
              job.id(), AllocationPhase.STOPPING, job.attempt(), job.placements(), job.startedAt());
        }
        case RefuseJob refuse -> jobs.remove(refuse.jobId());
        case PlacementDecision.QuarantineWorker ignored -> {}
        case PlacementDecision.ReleaseWorker ignored -> {}
      }
    }
  }

  JobView job(String id) {
    JobView job = jobs.get(id);
    if (job == null) {
      throw new IllegalStateException("unknown job " + id);
    }
    return job;
  }

  private void advanceJob(JobView job) {
    if (job.phase() == AllocationPhase.STOPPING && random.nextInt(2) == 0) {
      replace(job.id(), AllocationPhase.QUEUED, job.attempt(), List.of(), null);
    } else if (job.phase() == AllocationPhase.ALLOCATED) {
      int kind = random.nextInt(10);
      if (kind == 0) {
        jobs.remove(job.id());
      } else if (kind == 1) {
        fail(job);
      }
    }
  }

  private void fail(JobView job) {
    if (job.placements().isEmpty()) {
      return;
    }
    String worker = job.placements().get(0).worker();
    failures.computeIfAbsent(worker, name -> new ArrayList<>()).add(new TaskFailure(job.id(), now));
    replace(job.id(), AllocationPhase.QUEUED, job.attempt(), List.of(), null);
  }

  private void replace(
      String id,
      AllocationPhase phase,
      int attempt,
      List<MemberPlacement> placements,
      @Nullable Instant startedAt) {
    JobView job = job(id);
    double attainedAcceleratorSeconds = job.attainedAcceleratorSeconds() + random.nextInt(500);
    jobs.put(
        id,
        new JobView(
            job.specification(),
            phase,
            attempt,
            placements,
            job.submittedAt(),
            startedAt,
            attainedAcceleratorSeconds,
            job.completedSeconds() + random.nextInt(30),
            job.checkpointSeconds(),
            job.failedWorkers()));
  }

  private JobSpecification specification() {
    Span span = pick(Span.values());
    int blockSize = 1 << random.nextInt(4);
    int members = span == Span.WORKER ? 1 : 1 + random.nextInt(4);
    boolean stoppable = random.nextInt(3) > 0;
    return new JobSpecification(
        "job-" + submittedJobs++,
        CUSTOMERS.get(random.nextInt(CUSTOMERS.size())),
        new Shape(members, blockSize, span),
        pick(Urgency.values()),
        stoppable,
        random.nextBoolean(),
        1 + random.nextInt(600),
        Map.of("kind", random.nextInt(4) == 0 ? "dirty" : "clean"));
  }

  private <T> T pick(T[] values) {
    return values[random.nextInt(values.length)];
  }

  private void changeDomain() {
    String name = String.valueOf((char) ('a' + random.nextInt(3)));
    ServiceState state = pick(ServiceState.values());
    List<FailureDomain> domains = new ArrayList<>();
    for (FailureDomain domain : configuration.failureDomains()) {
      domains.add(
          domain.name().equals(name)
              ? new FailureDomain(name, "home", state, now.toEpochMilli(), 60_000, Map.of())
              : domain);
    }
    configuration =
        new Configuration(configuration.customers(), domains, Map.of(), configuration.rules());
  }
}
