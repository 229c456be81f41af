package io.dragonflyturn.internal.placement;

import io.dragonflyturn.internal.placement.PlacementDecision.QuarantineWorker;
import io.dragonflyturn.internal.placement.PlacementDecision.ReleaseWorker;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which workers enter and leave quarantine. A worker is quarantined when tasks of several
 * jobs fail on it. A failure has less weight the more workers the same job has failed on, because
 * then the job is the more likely cause.
 */
final class QuarantineEvaluator {
  /** The sum of failure weights that quarantines a worker; each weight is at most 1. */
  private static final double EVIDENCE_LIMIT = 1.5;

  private static final double PROBATION_EVIDENCE_LIMIT = 0.5;

  /** Limits the exponential growth of the quarantine time. */
  private static final int MAXIMUM_DOUBLINGS = 5;

  private final PolicySettings settings;
  private final Instant now;
  private final Map<String, Set<String>> failedWorkersByJob = new HashMap<>();

  QuarantineEvaluator(PolicySettings settings, Instant now, List<WorkerView> workers) {
    this.settings = settings;
    this.now = now;
    for (WorkerView view : workers) {
      for (TaskFailure failure : view.failures()) {
        failedWorkersByJob
            .computeIfAbsent(failure.jobId(), id -> new HashSet<>())
            .add(view.worker().name());
      }
    }
  }

  /** Returns the decision to quarantine or release the worker, or null to leave it unchanged. */
  @Nullable PlacementDecision evaluate(WorkerView view) {
    if (view.quarantined()) {
      return evaluateRelease(view);
    }
    Set<String> jobs = new HashSet<>();
    double evidence = 0;
    for (TaskFailure failure : view.failures()) {
      if (isEvidence(view, failure) && jobs.add(failure.jobId())) {
        evidence += 1.0 / failedWorkersByJob.getOrDefault(failure.jobId(), Set.of("")).size();
      }
    }
    boolean onProbation = view.quarantineChangedAt() != null && !completedSinceChange(view);
    if (onProbation && evidence >= PROBATION_EVIDENCE_LIMIT) {
      return new QuarantineWorker(
          view.worker().name(), "a task failed again after the worker left quarantine: " + jobs);
    }
    if (jobs.size() >= 2 && evidence >= EVIDENCE_LIMIT) {
      return new QuarantineWorker(
          view.worker().name(), "tasks of different jobs failed on this worker: " + jobs);
    }
    return null;
  }

  private @Nullable PlacementDecision evaluateRelease(WorkerView view) {
    Instant changedAt = view.quarantineChangedAt();
    if (changedAt == null) {
      return null;
    }
    int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, view.failures().size() - 2));
    Duration quarantineDuration = settings.quarantineTime().multipliedBy(1L << doublings);
    if (now.isBefore(changedAt.plus(quarantineDuration))) {
      return null;
    }
    return new ReleaseWorker(
        view.worker().name(),
        "probe after " + quarantineDuration.toSeconds() + " s: one task at a time");
  }

  private boolean isEvidence(WorkerView view, TaskFailure failure) {
    Instant changedAt = view.quarantineChangedAt();
    boolean sinceChange = changedAt == null || failure.failedAt().isAfter(changedAt);
    Instant completedAt = view.lastCompletionAt();
    boolean sinceCompletion = completedAt == null || failure.failedAt().isAfter(completedAt);
    return sinceChange
        && sinceCompletion
        && failure.failedAt().isAfter(now.minus(settings.failureWindow()));
  }

  private static boolean completedSinceChange(WorkerView view) {
    Instant completedAt = view.lastCompletionAt();
    Instant changedAt = view.quarantineChangedAt();
    return completedAt != null && changedAt != null && completedAt.isAfter(changedAt);
  }
}
