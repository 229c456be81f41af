package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.Configuration;
import java.util.List;

/** Validates and applies the records that change the phase of jobs. */
final class JobTransitions {
  private final JobTable jobs;
  private final WorkerTable workers;
  private final AuditTrail audit;

  JobTransitions(JobTable jobs, WorkerTable workers, AuditTrail audit) {
    this.jobs = jobs;
    this.workers = workers;
    this.audit = audit;
  }

  Decision submit(
      ControlRecord.JobSubmitted record, Configuration configuration, ApplyContext context) {
    JobRecord existing = jobs.find(record.job().id());
    if (existing != null) {
      return existing.specification().customer().equals(record.job().customer())
          ? Decision.of(ResultCode.JOINED, "")
          : Decision.conflict("A job of another customer has this id; choose another id.");
    }
    String customer = record.job().customer();
    if (configuration.customers().stream()
        .noneMatch(candidate -> candidate.name().equals(customer))) {
      return Decision.of(
          ResultCode.UNKNOWN_CUSTOMER,
          "There is no customer " + customer + "; add it to the configuration first.");
    }
    jobs.put(JobRecord.submitted(record.job(), jobs.allocateSubmission(), context));
    return Decision.ACCEPTED;
  }

  Decision cancel(ControlRecord.JobsCancelled record, long version, ApplyContext context) {
    int cancelledCount = 0;
    for (String jobId : record.jobIds()) {
      JobRecord job = jobs.find(jobId);
      if (job != null && job.phase() != JobPhase.ENDED && !job.cancelled()) {
        cancelJob(job, record.actor(), context);
        cancelledCount++;
      }
    }
    if (cancelledCount > 0) {
      String summary = "Cancelled " + cancelledCount + " of " + record.jobIds().size() + " jobs.";
      audit.add(context, record.actor(), "jobs-cancelled", version, version, summary);
    }
    return Decision.ACCEPTED;
  }

  private void cancelJob(JobRecord job, String actor, ApplyContext context) {
    String reason = "Cancelled by " + actor + ".";
    if (job.phase().holdsResources()) {
      jobs.put(job.stopping(StopReason.CANCELLED, reason, context));
      return;
    }
    ResultCode code =
        job.firstStartedAtMillis() == 0 ? ResultCode.CANCELLED_BEFORE_RUN : ResultCode.CANCELLED;
    jobs.put(job.ended(code, job.completedSeconds(), List.of(), reason, context));
  }

  Decision refuse(ControlRecord.JobRefused record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknownJob(record.jobId());
    }
    if (job.phase() != JobPhase.QUEUED) {
      return Decision.conflict("The job is no longer queued.");
    }
    jobs.put(job.ended(record.code(), job.completedSeconds(), List.of(), record.reason(), context));
    return Decision.ACCEPTED;
  }

  Decision reserve(
      ControlRecord.GangReserved record,
      ConfigurationState configurationState,
      ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknownJob(record.jobId());
    }
    if (job.phase() != JobPhase.QUEUED || record.attempt() != job.attempt() + 1) {
      return Decision.conflict("The job is no longer queued for this attempt.");
    }
    Decision versionCheck = checkConfigurationVersion(record, job, configurationState);
    if (!versionCheck.accepted()) {
      return versionCheck;
    }
    Configuration configuration = configurationState.configuration();
    Decision placementCheck =
        new PlacementCheck(workers, configuration)
            .check(job.specification().shape(), record.placements());
    if (!placementCheck.accepted()) {
      return placementCheck;
    }
    Decision quotaCheck = new QuotaCheck(jobs, configuration).check(job.specification());
    if (!quotaCheck.accepted()) {
      return quotaCheck;
    }
    workers.hold(record.placements());
    jobs.put(job.reserved(record, context));
    return Decision.ACCEPTED;
  }

  /**
   * Checks that the placement of a non-stoppable job was decided against the current configuration.
   * Such a job cannot be reclaimed later, so an outdated decision could break a guarantee.
   *
   * <p>A record without a version is accepted: it was accepted when it was written, and every
   * replica must reach the same result when it replays the log.
   */
  private static Decision checkConfigurationVersion(
      ControlRecord.GangReserved record, JobRecord job, ConfigurationState configurationState) {
    boolean hasVersion =
        record.configurationVersion() != ControlRecord.GangReserved.UNKNOWN_VERSION;
    boolean isCurrent = record.configurationVersion() == configurationState.version();
    if (job.specification().stoppable() || isCurrent || !hasVersion) {
      return Decision.ACCEPTED;
    }
    return Decision.of(
        ResultCode.VERSION_CONFLICT,
        "The placement is based on configuration version "
            + record.configurationVersion()
            + ", but the current version is "
            + configurationState.version()
            + "; the leader places the job again.");
  }

  Decision start(ControlRecord.GangStarted record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknownJob(record.jobId());
    }
    if (job.phase() != JobPhase.RESERVED || record.attempt() != job.attempt()) {
      return Decision.conflict("The attempt is no longer waiting to start.");
    }
    jobs.put(job.started(context));
    return Decision.ACCEPTED;
  }

  Decision stop(ControlRecord.GangStopRequested record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknownJob(record.jobId());
    }
    boolean canStop = job.phase() == JobPhase.RESERVED || job.phase() == JobPhase.RUNNING;
    if (!canStop || record.attempt() != job.attempt()) {
      return Decision.conflict("The attempt has ended or is already stopping.");
    }
    jobs.put(job.stopping(record.stopReason(), record.reason(), context));
    return Decision.ACCEPTED;
  }

  Decision end(ControlRecord.GangEnded record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknownJob(record.jobId());
    }
    if (!job.phase().holdsResources() || record.attempt() != job.attempt()) {
      return Decision.conflict("The attempt has already ended.");
    }
    workers.release(job.placements());
    jobs.put(recordAfterEnd(job, record, context));
    return Decision.ACCEPTED;
  }

  private static JobRecord recordAfterEnd(
      JobRecord job, ControlRecord.GangEnded record, ApplyContext context) {
    if (record.outcome() == ControlRecord.GangOutcome.COMPLETED) {
      return job.ended(
          ResultCode.OK,
          record.completedSeconds(),
          record.failedWorkers(),
          "Every member finished its work.",
          context);
    }
    if (job.cancelled()) {
      ResultCode code =
          job.firstStartedAtMillis() == 0 ? ResultCode.CANCELLED_BEFORE_RUN : ResultCode.CANCELLED;
      return job.ended(
          code, record.completedSeconds(), record.failedWorkers(), job.lastReason(), context);
    }
    String reason =
        record.outcome() == ControlRecord.GangOutcome.FAILED
            ? "A member failed on " + record.failedWorkers() + "; waits for places again."
            : job.lastReason() + " Waits for places again.";
    return job.requeued(record, reason, context);
  }

  private static Decision unknownJob(String jobId) {
    return Decision.of(ResultCode.UNKNOWN_JOB, "There is no job " + jobId + ".");
  }
}
