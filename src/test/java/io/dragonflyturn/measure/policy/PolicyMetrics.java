package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Collects the metrics of one policy in the simulation of one scenario. */
final class PolicyMetrics {
  static final long SAMPLE_INTERVAL_MILLIS = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double SECONDS_PER_HOUR = 3_600;

  /** How long after the return of a failure domain the domain change is still measured. */
  private static final long RETURN_PERIOD_MILLIS = 60_000;

  final List<Double> completionSeconds = new ArrayList<>();
  final List<Double> urgentStartSeconds = new ArrayList<>();
  final List<Double> largeGangWaitSeconds = new ArrayList<>();
  final List<Double> planMillis = new ArrayList<>();
  final List<Sample> timeline = new ArrayList<>();
  final InvariantAuditor auditor;
  double unusableAcceleratorSeconds;
  double acceleratorSeconds;
  double usefulSecondsInChange;
  double possibleSecondsInChange;
  double lostAcceleratorSeconds;
  int unfinishedJobs;
  private final Scenario scenario;
  private final List<Worker> healthyWorkers;
  private final Map<String, Worker> workers = new HashMap<>();
  private final long changeStartMillis;
  private final long changeEndMillis;

  PolicyMetrics(Scenario scenario) {
    this.scenario = scenario;
    List<Worker> all = scenario.preset().buildWorkers();
    all.forEach(worker -> workers.put(worker.name(), worker));
    healthyWorkers =
        all.stream().filter(worker -> !scenario.failingWorkers().contains(worker.name())).toList();
    auditor = new InvariantAuditor(all);
    List<DomainChange> changes = scenario.domainChanges();
    changeStartMillis = changes.get(0).atMillis();
    changeEndMillis = changes.get(changes.size() - 1).atMillis() + RETURN_PERIOD_MILLIS;
  }

  void recordPlanTime(long nanoseconds) {
    planMillis.add(nanoseconds / 1e6);
  }

  void recordStart(
      SimulatedJob job, List<MemberPlacement> placements, Configuration configuration) {
    auditor.recordStart(job, placements, configuration);
    lostAcceleratorSeconds += job.resumeDelayMillis() / MILLIS_PER_SECOND * job.accelerators();
  }

  void recordRelease(SimulatedJob job) {
    auditor.recordRelease(job);
  }

  void recordLostWork(SimulatedJob job, long nowMillis, double savedSeconds) {
    double lostWork = (job.completedAt(nowMillis) - savedSeconds) * job.accelerators();
    lostAcceleratorSeconds += lostWork;
    if (nowMillis >= changeStartMillis && nowMillis < changeEndMillis) {
      usefulSecondsInChange -= lostWork;
    }
  }

  void recordEnd(SimulatedJob job) {
    if (!job.scenarioJob.canComplete()) {
      return;
    }
    if (!job.succeeded) {
      unfinishedJobs++;
    }
    record(job, job.succeeded ? job.endedMillis : maximumDurationMillis());
  }

  void recordUnfinished(SimulatedJob job, long nowMillis) {
    if (job.scenarioJob.canComplete()) {
      unfinishedJobs++;
      record(job, nowMillis);
    }
  }

  /** Adds one second of the current state to the time-weighted metrics. */
  void sample(long nowMillis, Collection<SimulatedJob> jobs, Configuration configuration) {
    auditor.sample(nowMillis, jobs, configuration);
    Set<String> domainsInService = InvariantAuditor.domainsInService(configuration);
    List<Worker> usable =
        healthyWorkers.stream()
            .filter(worker -> domainsInService.contains(worker.failureDomain()))
            .toList();
    int capacity = usable.size() * Preset.ACCELERATORS_PER_WORKER;
    int unusable = unusableAccelerators(jobs, usable);
    int useful = usefulAccelerators(nowMillis, jobs, domainsInService);
    if (nowMillis < scenario.preset().arrivalSeconds() * MILLIS_PER_SECOND) {
      unusableAcceleratorSeconds += unusable;
      acceleratorSeconds += capacity;
      timeline.add(new Sample(nowMillis, (double) unusable / capacity, (double) useful / capacity));
    }
    if (nowMillis >= changeStartMillis && nowMillis < changeEndMillis) {
      usefulSecondsInChange += useful;
      possibleSecondsInChange += Math.min(capacity, demandedAccelerators(jobs));
    }
  }

  /**
   * Returns the free accelerators if the largest waiting job does not fit them, or 0 if it fits or
   * no job waits.
   */
  private int unusableAccelerators(Collection<SimulatedJob> jobs, List<Worker> usable) {
    SimulatedJob largest = null;
    for (SimulatedJob job : jobs) {
      boolean isWaiting = job.phase == AllocationPhase.QUEUED && job.scenarioJob.canComplete();
      if (isWaiting && (largest == null || job.accelerators() > largest.accelerators())) {
        largest = job;
      }
    }
    if (largest == null) {
      return 0;
    }
    FirstFitPlacer placer = new FirstFitPlacer(usable);
    for (Worker worker : usable) {
      placer.allocateMask(worker.name(), auditor.allocatedMask(worker.name()));
    }
    boolean fits = placer.place(largest.scenarioJob.specification().shape(), name -> true) != null;
    return fits ? 0 : placer.freeAccelerators();
  }

  /** Returns the accelerators in service on which a job makes progress. */
  private int usefulAccelerators(
      long nowMillis, Collection<SimulatedJob> jobs, Set<String> domainsInService) {
    int useful = 0;
    for (SimulatedJob job : jobs) {
      boolean isProgressing =
          job.phase == AllocationPhase.ALLOCATED
              && job.runningSinceMillis != SimulatedJob.NEVER
              && nowMillis >= job.runningSinceMillis + job.resumeDelayMillis()
              && !job.scenarioJob.alwaysFails();
      if (isProgressing && job.placements.stream().noneMatch(this::isFailing)) {
        useful +=
            job.placements.stream()
                .filter(placement -> domainsInService.contains(domainOf(placement.worker())))
                .mapToInt(placement -> placement.accelerators().size())
                .sum();
      }
    }
    return useful;
  }

  private boolean isFailing(MemberPlacement placement) {
    return scenario.failingWorkers().contains(placement.worker());
  }

  private String domainOf(String name) {
    @Nullable Worker worker = workers.get(name);
    return worker == null ? "" : worker.failureDomain();
  }

  private static int demandedAccelerators(Collection<SimulatedJob> jobs) {
    return jobs.stream()
        .filter(job -> job.scenarioJob.feasible() && !job.scenarioJob.alwaysFails())
        .mapToInt(SimulatedJob::accelerators)
        .sum();
  }

  private long maximumDurationMillis() {
    return scenario.preset().arrivalSeconds() * 1_000L * FleetSimulator.MAXIMUM_DURATION_FACTOR;
  }

  private void record(SimulatedJob job, long endMillis) {
    double completion = (endMillis - job.scenarioJob.submittedMillis()) / MILLIS_PER_SECOND;
    completionSeconds.add(completion);
    if (job.scenarioJob.specification().urgency() == Urgency.URGENT) {
      long start = job.firstStartMillis == SimulatedJob.NEVER ? endMillis : job.firstStartMillis;
      urgentStartSeconds.add((start - job.scenarioJob.submittedMillis()) / MILLIS_PER_SECOND);
    }
    int largest = scenario.preset().largestGangMembers() * Preset.ACCELERATORS_PER_WORKER;
    if (job.accelerators() * 2 >= largest) {
      largeGangWaitSeconds.add(completion - job.allocatedMillis / MILLIS_PER_SECOND);
    }
  }

  double lostHours() {
    return lostAcceleratorSeconds / SECONDS_PER_HOUR;
  }

  /**
   * The state at one time.
   *
   * @param atMillis the time in milliseconds from the start
   * @param fragmentation the share of accelerators in service that are free but unusable
   * @param useful the share of accelerators in service on which a job makes progress
   */
  record Sample(long atMillis, double fragmentation, double useful) {}
}
