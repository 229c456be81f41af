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

/** Collects the measures of one policy over one scenario. */
final class PolicyMeasures {
  static final long SAMPLE_MILLIS = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double SECONDS_PER_HOUR = 3_600;
  private static final long RETURN_MILLIS = 60_000;

  final List<Double> completionSeconds = new ArrayList<>();
  final List<Double> urgentStartSeconds = new ArrayList<>();
  final List<Double> largeGangWaitSeconds = new ArrayList<>();
  final List<Double> planMillis = new ArrayList<>();
  final List<Sample> timeline = new ArrayList<>();
  final PromiseAuditor auditor;
  double unusableSeconds;
  double acceleratorSeconds;
  double usefulInChange;
  double possibleInChange;
  double lostAcceleratorSeconds;
  int unfinished;
  private final Scenario scenario;
  private final List<Worker> soundWorkers;
  private final Map<String, Worker> workers = new HashMap<>();
  private final long changeStart;
  private final long changeEnd;

  PolicyMeasures(Scenario scenario) {
    this.scenario = scenario;
    List<Worker> all = scenario.preset().buildWorkers();
    all.forEach(worker -> workers.put(worker.name(), worker));
    soundWorkers =
        all.stream().filter(worker -> !scenario.failingWorkers().contains(worker.name())).toList();
    auditor = new PromiseAuditor(all);
    List<DomainChange> changes = scenario.domainChanges();
    changeStart = changes.get(0).atMillis();
    changeEnd = changes.get(changes.size() - 1).atMillis() + RETURN_MILLIS;
  }

  void planned(long nanoseconds) {
    planMillis.add(nanoseconds / 1e6);
  }

  void started(PoolJob job, List<MemberPlacement> placements, Configuration configuration) {
    auditor.started(job, placements, configuration);
    lostAcceleratorSeconds += job.resumeMillis() / MILLIS_PER_SECOND * job.accelerators();
  }

  void released(PoolJob job) {
    auditor.released(job);
  }

  void lost(PoolJob job, long now, double keptSeconds) {
    double lost = (job.completedAt(now) - keptSeconds) * job.accelerators();
    lostAcceleratorSeconds += lost;
    if (now >= changeStart && now < changeEnd) {
      usefulInChange -= lost;
    }
  }

  void ended(PoolJob job) {
    if (!job.truth.isSound()) {
      return;
    }
    if (!job.succeeded) {
      unfinished++;
    }
    record(job, job.succeeded ? job.ended : longestMillis());
  }

  void unfinished(PoolJob job, long now) {
    if (job.truth.isSound()) {
      unfinished++;
      record(job, now);
    }
  }

  /** Adds one second of the present state to the time-weighted measures. */
  void sample(long now, Collection<PoolJob> jobs, Configuration configuration) {
    auditor.sample(now, jobs, configuration);
    Set<String> open = PromiseAuditor.openDomains(configuration);
    List<Worker> usable =
        soundWorkers.stream().filter(worker -> open.contains(worker.failureDomain())).toList();
    int capacity = usable.size() * Preset.ACCELERATORS_PER_WORKER;
    int unusable = unusable(jobs, usable);
    int useful = useful(now, jobs, open);
    if (now < scenario.preset().arrivalSeconds() * MILLIS_PER_SECOND) {
      unusableSeconds += unusable;
      acceleratorSeconds += capacity;
      timeline.add(new Sample(now, (double) unusable / capacity, (double) useful / capacity));
    }
    if (now >= changeStart && now < changeEnd) {
      usefulInChange += useful;
      possibleInChange += Math.min(capacity, demand(jobs));
    }
  }

  private int unusable(Collection<PoolJob> jobs, List<Worker> usable) {
    PoolJob largest = null;
    for (PoolJob job : jobs) {
      boolean waits = job.phase == AllocationPhase.QUEUED && job.truth.isSound();
      if (waits && (largest == null || job.accelerators() > largest.accelerators())) {
        largest = job;
      }
    }
    if (largest == null) {
      return 0;
    }
    FirstFitPlacer placer = new FirstFitPlacer(usable);
    for (Worker worker : usable) {
      placer.takeMask(worker.name(), auditor.heldMask(worker.name()));
    }
    boolean fits = placer.place(largest.truth.specification().shape(), name -> true) != null;
    return fits ? 0 : placer.freeAccelerators();
  }

  private int useful(long now, Collection<PoolJob> jobs, Set<String> open) {
    int useful = 0;
    for (PoolJob job : jobs) {
      boolean works =
          job.phase == AllocationPhase.ALLOCATED
              && job.runningSince != PoolJob.NEVER
              && now >= job.runningSince + job.resumeMillis()
              && !job.truth.broken();
      if (works && job.placements.stream().noneMatch(this::isFailing)) {
        useful +=
            job.placements.stream()
                .filter(place -> open.contains(domainOf(place.worker())))
                .mapToInt(place -> place.accelerators().size())
                .sum();
      }
    }
    return useful;
  }

  private boolean isFailing(MemberPlacement place) {
    return scenario.failingWorkers().contains(place.worker());
  }

  private String domainOf(String name) {
    @Nullable Worker worker = workers.get(name);
    return worker == null ? "" : worker.failureDomain();
  }

  private static int demand(Collection<PoolJob> jobs) {
    return jobs.stream()
        .filter(job -> job.truth.possible() && !job.truth.broken())
        .mapToInt(PoolJob::accelerators)
        .sum();
  }

  private long longestMillis() {
    return scenario.preset().arrivalSeconds() * 1_000L * FakeWorkerPool.LONGEST_RUN_FACTOR;
  }

  private void record(PoolJob job, long endMillis) {
    double completion = (endMillis - job.truth.submittedMillis()) / MILLIS_PER_SECOND;
    completionSeconds.add(completion);
    if (job.truth.specification().urgency() == Urgency.URGENT) {
      long start = job.firstStart == PoolJob.NEVER ? endMillis : job.firstStart;
      urgentStartSeconds.add((start - job.truth.submittedMillis()) / MILLIS_PER_SECOND);
    }
    int largest = scenario.preset().largestGangMembers() * Preset.ACCELERATORS_PER_WORKER;
    if (job.accelerators() * 2 >= largest) {
      largeGangWaitSeconds.add(completion - job.heldMillis / MILLIS_PER_SECOND);
    }
  }

  double lostHours() {
    return lostAcceleratorSeconds / SECONDS_PER_HOUR;
  }

  /** The state at one moment: shares of the accelerators in service. */
  record Sample(long atMillis, double fragmentation, double useful) {}
}
