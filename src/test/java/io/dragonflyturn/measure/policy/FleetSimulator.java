package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.PlacementDecision;
import io.dragonflyturn.internal.placement.Plan;
import io.dragonflyturn.internal.placement.TaskFailure;
import io.dragonflyturn.internal.placement.WorkerView;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Runs a scenario against one policy as a discrete-event simulation: simulated time advances from
 * event to event.
 */
final class FleetSimulator {
  static final Instant SIMULATION_START = Instant.parse("2026-01-01T00:00:00Z");
  private static final long START_DELAY_MILLIS = 200;
  private static final long STOP_DELAY_MILLIS = 400;
  private static final long WORKER_FAILURE_DELAY_MILLIS = 2_000;
  private static final long JOB_FAILURE_DELAY_MILLIS = 3_000;
  private static final long PLAN_INTERVAL_MILLIS = 5_000;

  /** The longest simulated time, as a multiple of the arrival period. */
  static final int MAXIMUM_DURATION_FACTOR = 4;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int MAXIMUM_FAILURES_PER_WORKER = 10;

  private final Scenario scenario;
  private final MeasuredPolicy policy;
  private final PolicyMetrics metrics;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, Instant> quarantineChanges = new HashMap<>();
  private final Set<String> quarantined = new HashSet<>();
  private final Map<String, List<TaskFailure>> failures = new HashMap<>();
  private final Map<String, Instant> completions = new HashMap<>();
  private final Map<String, SimulatedJob> activeJobs = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private Configuration configuration;
  private long nowMillis;
  private long sequence;
  private boolean planPending;
  private int remainingJobs;

  FleetSimulator(Scenario scenario, MeasuredPolicy policy) {
    this.scenario = scenario;
    this.policy = policy;
    configuration = scenario.preset().buildConfiguration();
    scenario.preset().buildWorkers().forEach(worker -> workers.put(worker.name(), worker));
    metrics = new PolicyMetrics(scenario);
    remainingJobs = scenario.jobs().size();
  }

  /** Runs the scenario until all jobs have ended or the time limit is reached. */
  PolicyMetrics run() {
    scenario.jobs().forEach(job -> schedule(job.submittedMillis(), () -> submit(job)));
    scenario.domainChanges().forEach(change -> schedule(change.atMillis(), () -> change(change)));
    schedule(PLAN_INTERVAL_MILLIS, this::planPeriodically);
    schedule(0, this::sample);
    long limitMillis = scenario.preset().arrivalSeconds() * 1_000L * MAXIMUM_DURATION_FACTOR;
    while (!events.isEmpty() && remainingJobs > 0 && events.peek().atMillis() < limitMillis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.action().run();
    }
    activeJobs.values().forEach(job -> metrics.recordUnfinished(job, nowMillis));
    return metrics;
  }

  private void schedule(long atMillis, Runnable action) {
    events.add(new Event(Math.max(nowMillis, atMillis), sequence++, action));
  }

  private void planPeriodically() {
    requestPlan();
    schedule(nowMillis + PLAN_INTERVAL_MILLIS, this::planPeriodically);
  }

  private void sample() {
    metrics.sample(nowMillis, activeJobs.values(), configuration);
    schedule(nowMillis + PolicyMetrics.SAMPLE_INTERVAL_MILLIS, this::sample);
  }

  private void requestPlan() {
    if (!planPending) {
      planPending = true;
      schedule(nowMillis + scenario.preset().planDelayMillis(), this::plan);
    }
  }

  private void plan() {
    planPending = false;
    List<WorkerView> views = workers.values().stream().map(this::view).toList();
    FleetView view =
        new FleetView(
            configuration,
            views,
            activeJobs.values().stream()
                .map(job -> job.view(nowMillis, SIMULATION_START))
                .toList());
    long startedNanos = System.nanoTime();
    Plan plan = policy.plan(view, SIMULATION_START.plusMillis(nowMillis));
    metrics.recordPlanTime(System.nanoTime() - startedNanos);
    plan.decisions().forEach(this::apply);
  }

  private WorkerView view(Worker worker) {
    return new WorkerView(
        worker,
        quarantined.contains(worker.name()),
        quarantineChanges.get(worker.name()),
        failures.getOrDefault(worker.name(), List.of()),
        completions.get(worker.name()));
  }

  private void apply(PlacementDecision decision) {
    switch (decision) {
      case PlacementDecision.StartGang start -> start(start);
      case PlacementDecision.StopGang stop -> stop(job(stop.jobId()));
      case PlacementDecision.RefuseJob refuse -> end(job(refuse.jobId()), false);
      case PlacementDecision.QuarantineWorker quarantine -> {
        quarantined.add(quarantine.worker());
        quarantineChanges.put(quarantine.worker(), SIMULATION_START.plusMillis(nowMillis));
      }
      case PlacementDecision.ReleaseWorker release -> {
        quarantined.remove(release.worker());
        quarantineChanges.put(release.worker(), SIMULATION_START.plusMillis(nowMillis));
        requestPlan();
      }
    }
  }

  private void submit(ScenarioJob scenarioJob) {
    SimulatedJob job = new SimulatedJob(scenarioJob);
    activeJobs.put(job.id(), job);
    if (scenarioJob.cancelledMillis() >= 0) {
      schedule(scenarioJob.cancelledMillis(), () -> cancel(job));
    }
    requestPlan();
  }

  private void cancel(SimulatedJob job) {
    if (job.endedMillis != SimulatedJob.NEVER) {
      return;
    }
    if (job.phase == AllocationPhase.QUEUED) {
      end(job, false);
    } else {
      job.phase = AllocationPhase.STOPPING;
      int attempt = job.attempt;
      schedule(nowMillis + STOP_DELAY_MILLIS, () -> endAttempt(job, attempt, false));
    }
  }

  private void change(DomainChange change) {
    List<FailureDomain> domains = new ArrayList<>();
    for (FailureDomain domain : configuration.failureDomains()) {
      domains.add(domain.name().equals(change.domain()) ? changedDomain(domain, change) : domain);
    }
    configuration =
        new Configuration(
            configuration.customers(),
            domains,
            configuration.instanceLabels(),
            configuration.rules());
    if (change.state() == ServiceState.TAKEN_OUT) {
      schedule(nowMillis + change.leaveWithinMillis(), () -> stopJobsInDomain(change.domain()));
    }
    requestPlan();
  }

  private FailureDomain changedDomain(FailureDomain domain, DomainChange change) {
    return new FailureDomain(
        domain.name(),
        domain.region(),
        change.state(),
        SIMULATION_START.plusMillis(nowMillis).toEpochMilli(),
        change.leaveWithinMillis(),
        domain.labels());
  }

  /**
   * Stops all jobs that still run in a failure domain at its deadline, regardless of the policy.
   */
  private void stopJobsInDomain(String domain) {
    for (SimulatedJob job : List.copyOf(activeJobs.values())) {
      boolean isInDomain =
          job.placements.stream().anyMatch(placement -> domainOf(placement).equals(domain));
      if (isInDomain) {
        stop(job);
      }
    }
  }

  private SimulatedJob job(String id) {
    return Objects.requireNonNull(activeJobs.get(id), id);
  }

  private String domainOf(MemberPlacement placement) {
    return Objects.requireNonNull(workers.get(placement.worker())).failureDomain();
  }

  private void start(PlacementDecision.StartGang start) {
    SimulatedJob job = job(start.jobId());
    metrics.recordStart(job, start.placements(), configuration);
    job.phase = AllocationPhase.ALLOCATED;
    job.attempt = start.attempt();
    job.placements = start.placements();
    job.allocatedSinceMillis = nowMillis;
    int attempt = job.attempt;
    schedule(nowMillis + START_DELAY_MILLIS, () -> startRunning(job, attempt));
  }

  private void startRunning(SimulatedJob job, int attempt) {
    if (job.attempt != attempt || job.phase != AllocationPhase.ALLOCATED) {
      return;
    }
    job.runningSinceMillis = nowMillis;
    if (job.firstStartMillis == SimulatedJob.NEVER) {
      job.firstStartMillis = nowMillis;
    }
    List<String> failingWorkers =
        job.placements.stream()
            .map(MemberPlacement::worker)
            .filter(scenario.failingWorkers()::contains)
            .distinct()
            .toList();
    if (!failingWorkers.isEmpty()) {
      schedule(nowMillis + WORKER_FAILURE_DELAY_MILLIS, () -> fail(job, attempt, failingWorkers));
    } else if (job.scenarioJob.alwaysFails()) {
      List<String> failedWorkers = List.of(job.placements.get(0).worker());
      schedule(nowMillis + JOB_FAILURE_DELAY_MILLIS, () -> fail(job, attempt, failedWorkers));
    } else {
      double remainingSeconds = job.scenarioJob.actualRunSeconds() - job.savedSeconds;
      long millis =
          job.resumeDelayMillis() + (long) Math.ceil(remainingSeconds * MILLIS_PER_SECOND);
      schedule(nowMillis + millis, () -> complete(job, attempt));
    }
  }

  private void complete(SimulatedJob job, int attempt) {
    if (job.attempt == attempt && job.phase == AllocationPhase.ALLOCATED) {
      job.placements.forEach(
          placement -> completions.put(placement.worker(), SIMULATION_START.plusMillis(nowMillis)));
      release(job);
      end(job, true);
    }
  }

  private void fail(SimulatedJob job, int attempt, List<String> failedWorkers) {
    if (job.attempt != attempt || job.phase != AllocationPhase.ALLOCATED) {
      return;
    }
    for (String worker : failedWorkers) {
      List<TaskFailure> workerFailures =
          failures.computeIfAbsent(worker, name -> new ArrayList<>());
      workerFailures.add(new TaskFailure(job.id(), SIMULATION_START.plusMillis(nowMillis)));
      if (workerFailures.size() > MAXIMUM_FAILURES_PER_WORKER) {
        workerFailures.remove(0);
      }
    }
    job.failedWorkers.addAll(failedWorkers);
    double savedSeconds = job.checkpointAt(nowMillis);
    metrics.recordLostWork(job, nowMillis, savedSeconds);
    job.savedSeconds = savedSeconds;
    release(job);
    requestPlan();
  }

  private void stop(SimulatedJob job) {
    if (job.phase != AllocationPhase.ALLOCATED) {
      return;
    }
    job.phase = AllocationPhase.STOPPING;
    int attempt = job.attempt;
    schedule(nowMillis + STOP_DELAY_MILLIS, () -> endAttempt(job, attempt, true));
  }

  private void endAttempt(SimulatedJob job, int attempt, boolean requeue) {
    if (job.endedMillis != SimulatedJob.NEVER
        || job.attempt != attempt
        || job.phase != AllocationPhase.STOPPING) {
      return;
    }
    double savedSeconds =
        job.scenarioJob.specification().checkpointable() ? job.completedAt(nowMillis) : 0;
    if (requeue) {
      metrics.recordLostWork(job, nowMillis, savedSeconds);
      job.savedSeconds = savedSeconds;
    }
    release(job);
    if (!requeue) {
      end(job, false);
    }
    requestPlan();
  }

  private void release(SimulatedJob job) {
    metrics.recordRelease(job);
    job.attainedAcceleratorSeconds +=
        (nowMillis - job.allocatedSinceMillis)
            / MILLIS_PER_SECOND
            * Math.max(1, job.accelerators());
    job.allocatedMillis += nowMillis - job.allocatedSinceMillis;
    job.phase = AllocationPhase.QUEUED;
    job.placements = List.of();
    job.runningSinceMillis = SimulatedJob.NEVER;
    job.allocatedSinceMillis = SimulatedJob.NEVER;
  }

  private void end(SimulatedJob job, boolean succeeded) {
    job.endedMillis = nowMillis;
    job.succeeded = succeeded;
    activeJobs.remove(job.id());
    remainingJobs--;
    metrics.recordEnd(job);
    requestPlan();
  }

  private record Event(long atMillis, long sequence, Runnable action) {}
}
