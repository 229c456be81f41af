package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.Configuration;
import java.util.List;

/** Decides and applies the records that move jobs through their phases. */
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
    JobRecord earlier = jobs.find(record.job().id());
    if (earlier != null) {
      return earlier.specification().customer().equals(record.job().customer())
          ? Decision.of(ResultCode.JOINED, "")
          : Decision.conflict("Another customer's job has this id; choose another id.");
    }
    String customer = record.job().customer();
    if (configuration.customers().stream().noneMatch(known -> known.name().equals(customer))) {
      return Decision.of(
          ResultCode.UNKNOWN_CUSTOMER, "There is no customer " + customer + "; create it first.");
    }
    jobs.put(JobRecord.submitted(record.job(), jobs.takeSubmission(), context));
    return Decision.ACCEPTED;
  }

  Decision cancel(ControlRecord.JobsCancelled record, long version, ApplyContext context) {
    int cancelled = 0;
    for (String jobId : record.jobIds()) {
      JobRecord job = jobs.find(jobId);
      if (job != null && job.phase() != JobPhase.ENDED && !job.cancelled()) {
        cancelOne(job, record.actor(), context);
        cancelled++;
      }
    }
    if (cancelled > 0) {
      String summary = "Cancelled " + cancelled + " of " + record.jobIds().size() + " jobs.";
      audit.add(context, record.actor(), "jobs-cancelled", version, version, summary);
    }
    return Decision.ACCEPTED;
  }

  private void cancelOne(JobRecord job, String actor, ApplyContext context) {
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
      return unknown(record.jobId());
    }
    if (job.phase() != JobPhase.QUEUED) {
      return Decision.conflict("The job is not queued any more.");
    }
    jobs.put(job.ended(record.code(), job.completedSeconds(), List.of(), record.reason(), context));
    return Decision.ACCEPTED;
  }

  Decision reserve(
      ControlRecord.GangReserved record, ConfigurationHistory history, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknown(record.jobId());
    }
    if (job.phase() != JobPhase.QUEUED || record.attempt() != job.attempt() + 1) {
      return Decision.conflict("The job is not queued for this attempt any more.");
    }
    Decision basis = checkBasis(record, job, history);
    if (!basis.accepted()) {
      return basis;
    }
    Configuration configuration = history.configuration();
    Decision places =
        new PlacementCheck(workers, configuration)
            .check(job.specification().shape(), record.placements());
    if (!places.accepted()) {
      return places;
    }
    Decision quota = new QuotaCheck(jobs, configuration).check(job.specification());
    if (!quota.accepted()) {
      return quota;
    }
    workers.hold(record.placements());
    jobs.put(job.reserved(record, context));
    return Decision.ACCEPTED;
  }

  /**
   * Checks that work which keeps its places was admitted beside the guarantees in force.
   *
   * <p>A record without a version is not refused: it was applied when it was written, and every
   * replica must apply it alike.
   */
  private static Decision checkBasis(
      ControlRecord.GangReserved record, JobRecord job, ConfigurationHistory history) {
    boolean known = record.configurationVersion() != ControlRecord.GangReserved.UNKNOWN_VERSION;
    boolean current = record.configurationVersion() == history.version();
    if (job.specification().stoppable() || current || !known) {
      return Decision.ACCEPTED;
    }
    return Decision.of(
        ResultCode.VERSION_CONFLICT,
        "The places were chosen under version "
            + record.configurationVersion()
            + " of the configuration, but version "
            + history.version()
            + " is in force; the planner decides again.");
  }

  Decision start(ControlRecord.GangStarted record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknown(record.jobId());
    }
    if (job.phase() != JobPhase.RESERVED || record.attempt() != job.attempt()) {
      return Decision.conflict("The attempt is not waiting for its start any more.");
    }
    jobs.put(job.started(context));
    return Decision.ACCEPTED;
  }

  Decision stop(ControlRecord.GangStopRequested record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknown(record.jobId());
    }
    boolean stoppable = job.phase() == JobPhase.RESERVED || job.phase() == JobPhase.RUNNING;
    if (!stoppable || record.attempt() != job.attempt()) {
      return Decision.conflict("The attempt does not run any more, or is stopping already.");
    }
    jobs.put(job.stopping(record.stopReason(), record.reason(), context));
    return Decision.ACCEPTED;
  }

  Decision end(ControlRecord.GangEnded record, ApplyContext context) {
    JobRecord job = jobs.find(record.jobId());
    if (job == null) {
      return unknown(record.jobId());
    }
    if (!job.phase().holdsResources() || record.attempt() != job.attempt()) {
      return Decision.conflict("The attempt has ended already.");
    }
    workers.release(job.placements());
    jobs.put(afterEnd(job, record, context));
    return Decision.ACCEPTED;
  }

  private static JobRecord afterEnd(
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

  private static Decision unknown(String jobId) {
    return Decision.of(ResultCode.UNKNOWN_JOB, "There is no job " + jobId + ".");
  }
}
