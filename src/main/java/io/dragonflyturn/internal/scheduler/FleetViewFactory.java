package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.placement.AllocationPhase;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.JobView;
import io.dragonflyturn.internal.placement.WorkerView;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Builds the placement policy's view of workers and jobs from the control state. */
final class FleetViewFactory {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final WorkerHealthHistory healthHistory;

  FleetViewFactory(WorkerHealthHistory healthHistory) {
    this.healthHistory = healthHistory;
  }

  /** Returns the view of the state at the given time. */
  FleetView view(ControlState state, Instant now) {
    return new FleetView(state.configuration(), workers(state), jobs(state, now));
  }

  private List<WorkerView> workers(ControlState state) {
    List<WorkerView> workers = new ArrayList<>();
    for (Worker worker : state.workers()) {
      boolean quarantined = state.quarantine().containsKey(worker.name());
      workers.add(healthHistory.view(withConfiguredLabels(worker, state), quarantined));
    }
    return workers;
  }

  /**
   * Returns the worker with the labels from the configuration added. They override labels of the
   * platform.
   */
  private static Worker withConfiguredLabels(Worker worker, ControlState state) {
    Map<String, String> added = state.configuration().instanceLabels().get(worker.name());
    return added == null ? worker : worker.withLabels(added);
  }

  private static List<JobView> jobs(ControlState state, Instant now) {
    List<JobView> jobs = new ArrayList<>();
    state.activeJobs().forEach(job -> jobs.add(job(job, now)));
    state.queuedJobs().forEach(job -> jobs.add(job(job, now)));
    return jobs;
  }

  private static JobView job(JobRecord job, Instant now) {
    Instant startedAt = startOf(job);
    double running =
        startedAt == null
            ? 0
            : Math.max(0, Duration.between(startedAt, now).toMillis() / MILLIS_PER_SECOND);
    double completed = job.completedSeconds() + running;
    // Stopping a checkpointable job takes a checkpoint first, so only other jobs lose work.
    double kept = job.specification().checkpointable() ? completed : job.completedSeconds();
    return new JobView(
        job.specification(),
        phase(job),
        job.attempt(),
        job.placements(),
        Instant.ofEpochMilli(job.submittedAtMillis()),
        startedAt,
        (job.attainedSeconds() + running) * job.specification().shape().accelerators(),
        completed,
        kept,
        job.failedWorkers());
  }

  private static @Nullable Instant startOf(JobRecord job) {
    boolean running = job.phase().holdsResources() && job.startedAtMillis() > 0;
    return running ? Instant.ofEpochMilli(job.startedAtMillis()) : null;
  }

  private static AllocationPhase phase(JobRecord job) {
    return switch (job.phase()) {
      case QUEUED, ENDED -> AllocationPhase.QUEUED;
      case RESERVED, RUNNING -> AllocationPhase.ALLOCATED;
      case STOPPING -> AllocationPhase.STOPPING;
    };
  }
}
