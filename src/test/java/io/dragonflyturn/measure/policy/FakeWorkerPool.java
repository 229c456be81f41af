package io.dragonflyturn.measure.policy;

import io.dragonflyturn.internal.placement.PlacementDecision;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.AllocationPhase;
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

/** Plays a scenario against one policy with an event queue in place of a clock. */
final class FakeWorkerPool {
  static final Instant BASE = Instant.parse("2026-01-01T00:00:00Z");
  private static final long START_MILLIS = 200;
  private static final long STOP_MILLIS = 400;
  private static final long WORKER_FAILURE_MILLIS = 2_000;
  private static final long JOB_FAILURE_MILLIS = 3_000;
  private static final long TICK_MILLIS = 5_000;
  static final int LONGEST_RUN_FACTOR = 4;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int KEPT_FAILURES = 10;

  private final Scenario scenario;
  private final PlanningPolicy policy;
  private final PolicyMeasures measures;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, Instant> quarantineChanges = new HashMap<>();
  private final Set<String> quarantined = new HashSet<>();
  private final Map<String, List<TaskFailure>> failures = new HashMap<>();
  private final Map<String, Instant> completions = new HashMap<>();
  private final Map<String, PoolJob> active = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private Configuration configuration;
  private long now;
  private long sequence;
  private boolean planPending;
  private int expected;

  FakeWorkerPool(Scenario scenario, PlanningPolicy policy) {
    this.scenario = scenario;
    this.policy = policy;
    configuration = scenario.preset().buildConfiguration();
    scenario.preset().buildWorkers().forEach(worker -> workers.put(worker.name(), worker));
    measures = new PolicyMeasures(scenario);
    expected = scenario.jobs().size();
  }

  /** Plays the scenario to its end and returns what was measured. */
  PolicyMeasures run() {
    scenario.jobs().forEach(job -> at(job.submittedMillis(), () -> submit(job)));
    scenario.domainChanges().forEach(change -> at(change.atMillis(), () -> change(change)));
    at(TICK_MILLIS, this::tick);
    at(0, this::sample);
    long limit = scenario.preset().arrivalSeconds() * 1_000L * LONGEST_RUN_FACTOR;
    while (!events.isEmpty() && expected > 0 && events.peek().atMillis() < limit) {
      Event event = events.remove();
      now = event.atMillis();
      event.action().run();
    }
    active.values().forEach(job -> measures.unfinished(job, now));
    return measures;
  }

  private void at(long atMillis, Runnable action) {
    events.add(new Event(Math.max(now, atMillis), sequence++, action));
  }

  private void tick() {
    requestPlan();
    at(now + TICK_MILLIS, this::tick);
  }

  private void sample() {
    measures.sample(now, active.values(), configuration);
    at(now + PolicyMeasures.SAMPLE_MILLIS, this::sample);
  }

  private void requestPlan() {
    if (!planPending) {
      planPending = true;
      at(now + scenario.preset().planDelayMillis(), this::plan);
    }
  }

  private void plan() {
    planPending = false;
    List<WorkerView> views = workers.values().stream().map(this::view).toList();
    FleetView view =
        new FleetView(
            configuration,
            views,
            active.values().stream().map(job -> job.view(now, BASE)).toList());
    long started = System.nanoTime();
    Plan plan = policy.plan(view, BASE.plusMillis(now));
    measures.planned(System.nanoTime() - started);
    plan.decisions().forEach(this::carryOut);
  }

  private WorkerView view(Worker worker) {
    return new WorkerView(
        worker,
        quarantined.contains(worker.name()),
        quarantineChanges.get(worker.name()),
        failures.getOrDefault(worker.name(), List.of()),
        completions.get(worker.name()));
  }

  private void carryOut(PlacementDecision decision) {
    switch (decision) {
      case PlacementDecision.StartGang start -> start(start);
      case PlacementDecision.StopGang stop -> stop(job(stop.jobId()));
      case PlacementDecision.RefuseJob refuse -> end(job(refuse.jobId()), false);
      case PlacementDecision.QuarantineWorker quarantine -> {
        quarantined.add(quarantine.worker());
        quarantineChanges.put(quarantine.worker(), BASE.plusMillis(now));
      }
      case PlacementDecision.ReleaseWorker release -> {
        quarantined.remove(release.worker());
        quarantineChanges.put(release.worker(), BASE.plusMillis(now));
        requestPlan();
      }
    }
  }

  private void submit(JobTruth truth) {
    PoolJob job = new PoolJob(truth);
    active.put(job.id(), job);
    if (truth.cancelledMillis() >= 0) {
      at(truth.cancelledMillis(), () -> cancel(job));
    }
    requestPlan();
  }

  private void cancel(PoolJob job) {
    if (job.ended != PoolJob.NEVER) {
      return;
    }
    if (job.phase == AllocationPhase.QUEUED) {
      end(job, false);
    } else {
      job.phase = AllocationPhase.STOPPING;
      int attempt = job.attempt;
      at(now + STOP_MILLIS, () -> endAttempt(job, attempt, false));
    }
  }

  private void change(DomainChange change) {
    List<FailureDomain> domains = new ArrayList<>();
    for (FailureDomain domain : configuration.failureDomains()) {
      domains.add(domain.name().equals(change.domain()) ? changed(domain, change) : domain);
    }
    configuration =
        new Configuration(
            configuration.customers(),
            domains,
            configuration.instanceLabels(),
            configuration.rules());
    if (change.state() == ServiceState.TAKEN_OUT) {
      at(now + change.leaveWithinMillis(), () -> leave(change.domain()));
    }
    requestPlan();
  }

  private FailureDomain changed(FailureDomain domain, DomainChange change) {
    return new FailureDomain(
        domain.name(),
        domain.region(),
        change.state(),
        BASE.plusMillis(now).toEpochMilli(),
        change.leaveWithinMillis(),
        domain.labels());
  }

  /** Stops what still runs in a failure domain at its deadline, whatever the policy says. */
  private void leave(String domain) {
    for (PoolJob job : List.copyOf(active.values())) {
      boolean inside = job.placements.stream().anyMatch(place -> domainOf(place).equals(domain));
      if (inside) {
        stop(job);
      }
    }
  }

  private PoolJob job(String id) {
    return Objects.requireNonNull(active.get(id), id);
  }

  private String domainOf(MemberPlacement placement) {
    return Objects.requireNonNull(workers.get(placement.worker())).failureDomain();
  }

  private void start(PlacementDecision.StartGang start) {
    PoolJob job = job(start.jobId());
    measures.started(job, start.placements(), configuration);
    job.phase = AllocationPhase.ALLOCATED;
    job.attempt = start.attempt();
    job.placements = start.placements();
    job.heldSince = now;
    int attempt = job.attempt;
    at(now + START_MILLIS, () -> startRunning(job, attempt));
  }

  private void startRunning(PoolJob job, int attempt) {
    if (job.attempt != attempt || job.phase != AllocationPhase.ALLOCATED) {
      return;
    }
    job.runningSince = now;
    if (job.firstStart == PoolJob.NEVER) {
      job.firstStart = now;
    }
    List<String> failing =
        job.placements.stream()
            .map(MemberPlacement::worker)
            .filter(scenario.failingWorkers()::contains)
            .distinct()
            .toList();
    if (!failing.isEmpty()) {
      at(now + WORKER_FAILURE_MILLIS, () -> fail(job, attempt, failing));
    } else if (job.truth.broken()) {
      List<String> blamed = List.of(job.placements.get(0).worker());
      at(now + JOB_FAILURE_MILLIS, () -> fail(job, attempt, blamed));
    } else {
      double rest = job.truth.runSeconds() - job.keptSeconds;
      long millis = job.resumeMillis() + (long) Math.ceil(rest * MILLIS_PER_SECOND);
      at(now + millis, () -> complete(job, attempt));
    }
  }

  private void complete(PoolJob job, int attempt) {
    if (job.attempt == attempt && job.phase == AllocationPhase.ALLOCATED) {
      job.placements.forEach(place -> completions.put(place.worker(), BASE.plusMillis(now)));
      release(job);
      end(job, true);
    }
  }

  private void fail(PoolJob job, int attempt, List<String> blamed) {
    if (job.attempt != attempt || job.phase != AllocationPhase.ALLOCATED) {
      return;
    }
    for (String worker : blamed) {
      List<TaskFailure> kept = failures.computeIfAbsent(worker, name -> new ArrayList<>());
      kept.add(new TaskFailure(job.id(), BASE.plusMillis(now)));
      if (kept.size() > KEPT_FAILURES) {
        kept.remove(0);
      }
    }
    job.failedWorkers.addAll(blamed);
    double kept = job.checkpointAt(now);
    measures.lost(job, now, kept);
    job.keptSeconds = kept;
    release(job);
    requestPlan();
  }

  private void stop(PoolJob job) {
    if (job.phase != AllocationPhase.ALLOCATED) {
      return;
    }
    job.phase = AllocationPhase.STOPPING;
    int attempt = job.attempt;
    at(now + STOP_MILLIS, () -> endAttempt(job, attempt, true));
  }

  private void endAttempt(PoolJob job, int attempt, boolean requeue) {
    if (job.ended != PoolJob.NEVER || job.attempt != attempt || job.phase != AllocationPhase.STOPPING) {
      return;
    }
    double kept = job.truth.specification().checkpointable() ? job.completedAt(now) : 0;
    if (requeue) {
      measures.lost(job, now, kept);
      job.keptSeconds = kept;
    }
    release(job);
    if (!requeue) {
      end(job, false);
    }
    requestPlan();
  }

  private void release(PoolJob job) {
    measures.released(job);
    job.attained += (now - job.heldSince) / MILLIS_PER_SECOND * Math.max(1, job.accelerators());
    job.heldMillis += now - job.heldSince;
    job.phase = AllocationPhase.QUEUED;
    job.placements = List.of();
    job.runningSince = PoolJob.NEVER;
    job.heldSince = PoolJob.NEVER;
  }

  private void end(PoolJob job, boolean succeeded) {
    job.ended = now;
    job.succeeded = succeeded;
    active.remove(job.id());
    expected--;
    measures.ended(job);
    requestPlan();
  }

  private record Event(long atMillis, long sequence, Runnable action) {}
}
