package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeaderElector;
import io.dragonflyturn.internal.protocol.ControlAnswer;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.state.AuditEntry;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.ReportData;
import java.util.List;
import java.util.function.Predicate;

/** Answers control queries from the replicated state of this replica. */
final class QueryAnswerer {
  private final ReplicatedState replica;
  private final LeaderElector leadership;
  private final ProposalValidator proposalValidator;
  private final Explanations explanations;

  QueryAnswerer(
      ReplicatedState replica,
      LeaderElector leadership,
      ProposalValidator proposalValidator,
      Explanations explanations) {
    this.replica = replica;
    this.leadership = leadership;
    this.proposalValidator = proposalValidator;
    this.explanations = explanations;
  }

  ControlAnswer answer(ControlQuery query) {
    return switch (query) {
      case ControlQuery.JobStatus status -> jobStatus(status);
      case ControlQuery.JobList list -> jobList(list);
      case ControlQuery.JobExplanation explanation -> jobExplanation(explanation);
      case ControlQuery.DomainExplanation domain -> domainExplanation(domain);
      case ControlQuery.CurrentConfiguration current -> currentConfiguration();
      case ControlQuery.ValidateConfiguration validate ->
          success(new Problems(proposalValidator.problems(validate.configuration())));
      case ControlQuery.AuditTrail trail -> auditTrail(trail);
      case ControlQuery.ReplicaSummary summary -> success(replica.read(this::summary));
      case ControlQuery.Report report -> success(report());
    };
  }

  private ControlAnswer jobStatus(ControlQuery.JobStatus query) {
    JobRecord job = replica.read(state -> state.job(query.jobId()));
    if (job == null || !visibleTo(query.customer()).test(job)) {
      return unknownJob(query.jobId());
    }
    return success(JobStatusView.of(job));
  }

  private ControlAnswer jobList(ControlQuery.JobList query) {
    Predicate<JobRecord> visible = visibleTo(query.customer());
    return success(
        replica.read(state -> state.jobs().stream().filter(visible).toList()).stream()
            .map(JobStatusView::of)
            .toList());
  }

  private ControlAnswer jobExplanation(ControlQuery.JobExplanation query) {
    JobRecord job = replica.read(state -> state.job(query.jobId()));
    if (job == null || !visibleTo(query.customer()).test(job)) {
      return unknownJob(query.jobId());
    }
    return success(explanations.job(job));
  }

  private ControlAnswer domainExplanation(ControlQuery.DomainExplanation query) {
    return explanations
        .domain(query.failureDomain())
        .map(QueryAnswerer::success)
        .orElseGet(
            () ->
                new ControlAnswer(
                    ResultCode.UNKNOWN_FAILURE_DOMAIN,
                    "There is no failure domain '"
                        + query.failureDomain()
                        + "'; see 'dragonflyturn config show'.",
                    "null"));
  }

  private ControlAnswer currentConfiguration() {
    return success(
        replica.read(
            state ->
                new VersionedConfiguration(state.configurationVersion(), state.configuration())));
  }

  private ControlAnswer auditTrail(ControlQuery.AuditTrail query) {
    return success(
        new Audit(replica.read(state -> state.audit(query.fromPosition(), query.most()))));
  }

  private ReportData report() {
    List<String> shortfalls = explanations.shortfalls();
    return replica.read(state -> ReportDataFactory.of(state, shortfalls));
  }

  private Summary summary(ControlState state) {
    return new Summary(
        state.offset(),
        state.leadership().leader(),
        state.leadership().term(),
        leadership.leads(),
        replica.logAge().toMillis(),
        state.configurationVersion(),
        state.workers().size(),
        state.queuedJobs().size(),
        state.activeJobs().size(),
        state.endedJobs().size(),
        state.requestCount());
  }

  private static Predicate<JobRecord> visibleTo(String customer) {
    return job -> customer.isEmpty() || customer.equals(job.specification().customer());
  }

  private static ControlAnswer unknownJob(String jobId) {
    return new ControlAnswer(
        ResultCode.UNKNOWN_JOB,
        "There is no job '" + jobId + "' that this caller may see; check the id.",
        "null");
  }

  private static ControlAnswer success(Object answer) {
    return new ControlAnswer(ResultCode.OK, "", JsonCodec.text(answer));
  }

  /** The current configuration and its version, as JSON. */
  record VersionedConfiguration(long version, Configuration configuration) {}

  /** The problems that validation found in a configuration. */
  record Problems(List<io.dragonflyturn.internal.placement.ConfigurationProblem> problems) {}

  /** A page of the audit trail. */
  record Audit(List<AuditEntry> entries) {}

  /** The log position, leadership, and object counts of a replica. */
  record Summary(
      long offset,
      String leader,
      long term,
      boolean leads,
      long logAgeMillis,
      long configurationVersion,
      int workers,
      int queuedJobs,
      int activeJobs,
      int endedJobs,
      int requests) {}
}
