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
 * Decides which workers fail whatever they are given. A failure counts the less, the more workers
 * the same job has failed on, because then the job itself is the likelier cause.
 */
final class QuarantineJudge {
  private static final double EVIDENCE_LIMIT = 1.5;
  private static final double PROBATION_EVIDENCE_LIMIT = 0.5;
  private static final int MAXIMUM_DOUBLINGS = 5;

  private final PolicySettings settings;
  private final Instant now;
  private final Map<String, Set<String>> failedWorkersByJob = new HashMap<>();

  QuarantineJudge(PolicySettings settings, Instant now, List<WorkerView> workers) {
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

  /** Returns a change of quarantine of the worker, or null for none. */
  @Nullable PlacementDecision judge(WorkerView view) {
    if (view.quarantined()) {
      return judgeRelease(view);
    }
    Set<String> jobs = new HashSet<>();
    double evidence = 0;
    for (TaskFailure failure : view.failures()) {
      if (counts(view, failure) && jobs.add(failure.jobId())) {
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

  private @Nullable PlacementDecision judgeRelease(WorkerView view) {
    Instant changed = view.quarantineChangedAt();
    if (changed == null) {
      return null;
    }
    int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, view.failures().size() - 2));
    Duration stay = settings.quarantineTime().multipliedBy(1L << doublings);
    if (now.isBefore(changed.plus(stay))) {
      return null;
    }
    return new ReleaseWorker(
        view.worker().name(), "probe after " + stay.toSeconds() + " s: one task at a time");
  }

  private boolean counts(WorkerView view, TaskFailure failure) {
    Instant changed = view.quarantineChangedAt();
    boolean sinceChange = changed == null || failure.at().isAfter(changed);
    Instant completed = view.lastCompletionAt();
    boolean sinceCompletion = completed == null || failure.at().isAfter(completed);
    return sinceChange
        && sinceCompletion
        && failure.at().isAfter(now.minus(settings.failureWindow()));
  }

  private static boolean completedSinceChange(WorkerView view) {
    Instant completed = view.lastCompletionAt();
    Instant changed = view.quarantineChangedAt();
    return completed != null && changed != null && completed.isAfter(changed);
  }
}
