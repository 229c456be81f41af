package io.dragonflyturn.measure.policy;

import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The job arrivals and faults of one simulation, generated from a seed so that every policy sees
 * the same ones.
 *
 * @param preset the fleet and the parameters of the load
 * @param jobs the jobs, sorted by submission time
 * @param failingWorkers the names of the workers on which every task fails
 * @param domainChanges the changes that take out one failure domain and return it
 */
record Scenario(
    Preset preset,
    List<ScenarioJob> jobs,
    Set<String> failingWorkers,
    List<DomainChange> domainChanges) {
  /** The generated load as a share of the capacity of the fleet. */
  private static final double OFFERED_LOAD = 0.95;

  /** The standard deviation of the logarithm of run times, which are log-normally distributed. */
  private static final double RUN_TIME_LOG_SIGMA = 1.5;

  private static final double MINIMUM_RUN_SECONDS = 5;
  private static final double MAXIMUM_RUN_SECONDS = 3_600;

  /** Declared run times are too long or too short by up to this factor. */
  private static final double MAXIMUM_DECLARED_ERROR_FACTOR = 10;

  private static final double FAILING_WORKER_SHARE = 0.03;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long LEAVE_WITHIN_MILLIS = 60_000;

  static Scenario generate(Preset preset, long seed) {
    Random random = new Random(seed);
    List<ScenarioJob> jobs = new ArrayList<>();
    double targetAcceleratorSeconds =
        OFFERED_LOAD * preset.accelerators() * preset.arrivalSeconds();
    double offeredAcceleratorSeconds = 0;
    while (offeredAcceleratorSeconds < targetAcceleratorSeconds) {
      long atMillis = (long) (random.nextDouble() * preset.arrivalSeconds() * MILLIS_PER_SECOND);
      int burstJobs = burstSize(random);
      boolean large = random.nextInt(4) == 0;
      String customer = customer(preset, random);
      for (int index = 0; index < (large ? Math.max(1, burstJobs / 4) : burstJobs); index++) {
        ScenarioJob job = job(preset, random, jobs.size(), customer, atMillis, large);
        jobs.add(job);
        if (job.feasible() && !job.alwaysFails()) {
          offeredAcceleratorSeconds +=
              job.actualRunSeconds() * job.specification().shape().accelerators();
        }
      }
    }
    List<ScenarioJob> cancelled = cancelInWaves(preset, random, jobs);
    cancelled.sort(Comparator.comparingLong(ScenarioJob::submittedMillis));
    return new Scenario(
        preset,
        cancelled,
        chooseFailingWorkers(preset, random),
        createDomainChanges(preset, random));
  }

  private static int burstSize(Random random) {
    int kind = random.nextInt(10);
    return kind < 6 ? 1 : kind < 9 ? 2 + random.nextInt(6) : 10 + random.nextInt(20);
  }

  private static String customer(Preset preset, Random random) {
    List<String> names =
        preset.buildConfiguration().customers().stream().map(customer -> customer.name()).toList();
    int largeCustomers = Math.max(2, names.size() / 9);
    boolean isLargeCustomer = random.nextInt(10) < 6;
    return names.get(
        isLargeCustomer ? random.nextInt(largeCustomers) : random.nextInt(names.size()));
  }

  private static ScenarioJob job(
      Preset preset, Random random, int index, String customer, long burstMillis, boolean large) {
    long atMillis = burstMillis + random.nextInt(2_000);
    boolean infeasible = random.nextInt(100) == 0;
    Shape shape = infeasible ? new Shape(17, 8, Span.RACK) : shape(preset, random, large);
    double actualRunSeconds =
        preset.medianRunSeconds() * Math.exp(RUN_TIME_LOG_SIGMA * random.nextGaussian());
    actualRunSeconds = Math.clamp(actualRunSeconds, MINIMUM_RUN_SECONDS, MAXIMUM_RUN_SECONDS);
    double declaredErrorFactor =
        Math.pow(MAXIMUM_DECLARED_ERROR_FACTOR, random.nextDouble() * 2 - 1);
    int percentile = random.nextInt(100);
    boolean urgent = percentile < 5 && shape.accelerators() <= 2 * Preset.ACCELERATORS_PER_WORKER;
    Urgency urgency =
        urgent ? Urgency.URGENT : percentile >= 90 ? Urgency.DEFERRABLE : Urgency.NORMAL;
    boolean stoppable = random.nextInt(100) < 90 || shape.members() > 1;
    boolean checkpointable = stoppable && random.nextInt(100) < 85;
    JobSpecification specification =
        new JobSpecification(
            "job-%06d".formatted(index),
            customer,
            shape,
            urgency,
            stoppable,
            checkpointable,
            Math.max(1, (long) (actualRunSeconds * declaredErrorFactor)),
            Map.of());
    return new ScenarioJob(
        specification, atMillis, actualRunSeconds, random.nextInt(50) == 0, !infeasible, -1);
  }

  private static Shape shape(Preset preset, Random random, boolean large) {
    if (!large) {
      int[] blockSizes = {1, 1, 1, 1, 2, 2, 2, 4, 4, 3};
      return new Shape(1, blockSizes[random.nextInt(blockSizes.length)], Span.WORKER);
    }
    int kind = random.nextInt(10);
    if (kind < 4) {
      return new Shape(1, Preset.ACCELERATORS_PER_WORKER, Span.WORKER);
    }
    if (kind < 7) {
      return new Shape(2 + random.nextInt(3), Preset.ACCELERATORS_PER_WORKER, Span.RACK);
    }
    if (kind < 8) {
      return new Shape(2 + random.nextInt(6), 4, Span.FAILURE_DOMAIN);
    }
    int largest = preset.largestGangMembers();
    int members = largest / 2 + random.nextInt(largest / 2 + 1);
    return new Shape(members, Preset.ACCELERATORS_PER_WORKER, Span.FAILURE_DOMAIN);
  }

  /** Returns the jobs with some cancelled at each of three random times. */
  private static List<ScenarioJob> cancelInWaves(
      Preset preset, Random random, List<ScenarioJob> jobs) {
    List<ScenarioJob> result = new ArrayList<>(jobs);
    for (int wave = 0; wave < 3; wave++) {
      long atMillis = (long) (random.nextDouble() * preset.arrivalSeconds() * MILLIS_PER_SECOND);
      long windowStartMillis = atMillis - 600_000;
      for (int index = 0; index < result.size(); index++) {
        ScenarioJob job = result.get(index);
        boolean inWindow =
            job.submittedMillis() < atMillis && job.submittedMillis() > windowStartMillis;
        if (inWindow && random.nextInt(5) == 0) {
          result.set(
              index,
              new ScenarioJob(
                  job.specification(),
                  job.submittedMillis(),
                  job.actualRunSeconds(),
                  job.alwaysFails(),
                  job.feasible(),
                  atMillis));
        }
      }
    }
    return result;
  }

  private static Set<String> chooseFailingWorkers(Preset preset, Random random) {
    List<Worker> workers = preset.buildWorkers();
    Set<String> failingWorkers = new HashSet<>();
    while (failingWorkers.size() < Math.ceil(workers.size() * FAILING_WORKER_SHARE)) {
      failingWorkers.add(workers.get(random.nextInt(workers.size())).name());
    }
    return Set.copyOf(failingWorkers);
  }

  private static List<DomainChange> createDomainChanges(Preset preset, Random random) {
    String domain = preset.domains().get(random.nextInt(preset.domains().size()));
    long takeOutMillis = (long) (preset.arrivalSeconds() * MILLIS_PER_SECOND * 0.4);
    long returnMillis = (long) (preset.arrivalSeconds() * MILLIS_PER_SECOND * 0.6);
    return List.of(
        new DomainChange(takeOutMillis, domain, ServiceState.TAKEN_OUT, LEAVE_WITHIN_MILLIS),
        new DomainChange(returnMillis, domain, ServiceState.RETURNING, 0));
  }
}
