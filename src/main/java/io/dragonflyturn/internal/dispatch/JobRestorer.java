package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.RunLoader.LoadedRuns;
import io.dragonflyturn.internal.policy.SubmissionRate;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.SubmittedJob;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Restores the active jobs and their runs from what earlier leaders have stored. */
final class JobRestorer {
  private final DispatchContext context;
  private final WorkerFleet fleet;
  private final Map<String, ActiveJob> jobs;
  private final RunDriver driver;
  private final SubmissionRate submissionRate;

  /**
   * Creates a restorer.
   *
   * @param jobs the active jobs by identifier, to which it adds
   */
  JobRestorer(
      DispatchContext context, WorkerFleet fleet, Map<String, ActiveJob> jobs, RunDriver driver) {
    this.context = context;
    this.fleet = fleet;
    this.jobs = jobs;
    this.driver = driver;
    this.submissionRate = new SubmissionRate(context.settings().quotaWindowMillis());
  }

  /** Restores all jobs of the directory that have not ended, and adopts the runs that may exist. */
  void restore(LoadedRuns runs) {
    Set<String> overRate = overRateJobs();
    context
        .directory()
        .jobs()
        .forEach(entry -> activate(entry, overRate.contains(entry.submission().id())));
    runs.readable().forEach(this::restoreRun);
    runs.unreadableKeys().forEach(this::suspendJobOf);
  }

  /** Returns the jobs that exceed the rate of their customer. Ended jobs count, too. */
  private Set<String> overRateJobs() {
    List<SubmittedJob> inOrder =
        context.directory().jobs().stream()
            .map(JobEntry::submission)
            .sorted(
                Comparator.comparingLong(SubmittedJob::acceptedMillis)
                    .thenComparing(SubmittedJob::id))
            .toList();
    Set<String> overRate = new HashSet<>();
    for (SubmittedJob job : inOrder) {
      if (exceedsRate(job)) {
        overRate.add(job.id());
      }
    }
    return overRate;
  }

  private boolean exceedsRate(SubmittedJob job) {
    double weight = context.customers().termsOf(job.customer()).weight();
    return submissionRate.isExceededBy(job.customer(), weight, job.acceptedMillis());
  }

  /** Adds a job that has just been submitted to the active jobs unless it has ended. */
  void activateIfUnfinished(JobEntry entry) {
    activate(entry, exceedsRate(entry.submission()));
  }

  private void activate(JobEntry entry, boolean overRate) {
    if (!entry.recordedState().isTerminal()) {
      jobs.put(entry.submission().id(), activeJob(entry, overRate));
    }
  }

  private ActiveJob activeJob(JobEntry entry, boolean overRate) {
    return new ActiveJob(entry, context.nowMillis(), context.wallClock().millis(), overRate);
  }

  private void restoreRun(String key, RunRecord stored) {
    UnitKey unitKey = UnitKey.parse(key);
    if (unitKey == null) {
      context.events().event("record-unreadable").with("key", key).write();
      return;
    }
    ActiveJob job = jobs.get(unitKey.job());
    if (job == null) {
      job = restoreEnded(unitKey.job(), stored);
    }
    WorkUnit unit =
        job == null
            ? null
            : job.restore(unitKey.occurrence(), unitKey.stepIndex(), unitKey.taskIndex(), stored);
    if (unit == null) {
      return;
    }
    if (stored.mayBeActive()) {
      driver.adopt(unit, stored, stored.members().stream().map(fleet::adopt).toList());
    }
  }

  /** Starts nothing of a job with an unreadable run, because that run may still be active. */
  private void suspendJobOf(String key) {
    UnitKey unitKey = UnitKey.parse(key);
    if (unitKey != null && jobs.remove(unitKey.job()) != null) {
      context.events().event("job-suspended").with("job", unitKey.job()).write();
    }
  }

  /** Reactivates an ended job that may still have runs, so that these are stopped. */
  private @Nullable ActiveJob restoreEnded(String id, RunRecord stored) {
    JobEntry entry = context.directory().job(id);
    if (entry == null || !stored.mayBeActive()) {
      return null;
    }
    ActiveJob job = activeJob(entry, false);
    job.markEnding();
    jobs.put(id, job);
    return job;
  }
}
