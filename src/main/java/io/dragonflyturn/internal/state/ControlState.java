package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Worker;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The replicated state machine of the control plane: configuration, workers, jobs, and requests.
 *
 * <p>Every replica that applies the same envelopes in the same order reaches the same state.
 * Applying an envelope never reads a local clock; the state time is derived from the timestamps of
 * the envelopes. Instances are not thread-safe.
 */
public final class ControlState {
  private static final long NO_TERM = 0;

  private final EffectiveSettings settings;
  private final WriterTable writers;
  private final AuditTrail audit;
  private final ConfigurationState configurationState;
  private final WorkerTable workers = new WorkerTable();
  private final JobTable jobs;
  private final JobTransitions transitions;
  private final RequestTable requests;
  private final CreditTable credits = new CreditTable(workers);
  private Leadership leadership = Leadership.NONE;
  private SnapshotClaim snapshotClaim = SnapshotClaim.NONE;
  private long offset = -1;
  private final StateClock clock = new StateClock();

  /**
   * Creates the state before the first record.
   *
   * @param initialSettings the settings used until the log determines them; they must be equal on
   *     all replicas
   */
  public ControlState(StateSettings initialSettings) {
    settings = new EffectiveSettings(initialSettings);
    writers = new WriterTable(settings);
    audit = new AuditTrail(settings);
    configurationState = new ConfigurationState(audit);
    jobs = new JobTable(settings);
    transitions = new JobTransitions(jobs, workers, audit);
    requests = new RequestTable(settings);
  }

  /**
   * Applies an envelope and returns whether its record was accepted.
   *
   * <p>Never throws: a record that cannot be applied is rejected with {@link
   * ResultCode#INTERNAL_ERROR}, so that all replicas handle it in the same way.
   *
   * @param batchOffset the offset of the batch that contains the envelope
   * @param envelope the envelope to apply
   * @return the outcome of the proposal
   */
  public ProposalOutcome apply(long batchOffset, Envelope envelope) {
    offset = Math.max(offset, batchOffset);
    return decide(batchOffset, envelope).toOutcome(batchOffset, configurationState.version());
  }

  /** Advances the offset to that of a batch, even if none of its envelopes could be decoded. */
  public void advanceTo(long batchOffset) {
    offset = Math.max(offset, batchOffset);
  }

  private Decision decide(long batchOffset, Envelope envelope) {
    Decision admitted = writers.admit(batchOffset, envelope);
    if (!admitted.accepted()) {
      return admitted;
    }
    clock.advance(envelope.writer(), envelope.atMillis());
    requests.prune(clock.millis());
    jobs.prune(clock.millis());
    ApplyContext context = new ApplyContext(batchOffset, envelope, clock.millis());
    try {
      return requiresLeadership(envelope.record()) && !hasCurrentTerm(envelope)
          ? Decision.of(ResultCode.FENCED, "The record is not of the current leadership term.")
          : applyRecord(envelope.record(), context);
    } catch (RuntimeException failure) {
      return Decision.of(ResultCode.INTERNAL_ERROR, "The record could not be applied: " + failure);
    }
  }

  private boolean hasCurrentTerm(Envelope envelope) {
    return envelope.term() != NO_TERM
        && envelope.term() == leadership.term()
        && leadership.isHeld();
  }

  private static boolean requiresLeadership(ControlRecord record) {
    return switch (record) {
      case ControlRecord.LeadershipRenewed renewed -> true;
      case ControlRecord.LeadershipReleased released -> true;
      case ControlRecord.WorkersListed listed -> true;
      case ControlRecord.WorkerQuarantineChanged changed -> true;
      case ControlRecord.JobRefused refused -> true;
      case ControlRecord.GangReserved reserved -> true;
      case ControlRecord.GangStarted started -> true;
      case ControlRecord.GangStopRequested requested -> true;
      case ControlRecord.GangEnded ended -> true;
      case ControlRecord.CreditsAllocated allocated -> true;
      case ControlRecord.LeadershipClaimed claimed -> false;
      case ControlRecord.WriterFenced fenced -> false;
      case ControlRecord.ConfigurationChanged changed -> false;
      case ControlRecord.DomainServiceChanged changed -> false;
      case ControlRecord.JobSubmitted submitted -> false;
      case ControlRecord.JobsCancelled cancelled -> false;
      case ControlRecord.RequestClaimed claimed -> false;
      case ControlRecord.RequestFinished finished -> false;
      case ControlRecord.SnapshotClaimed claimed -> false;
      case ControlRecord.SettingsDecided decided -> false;
    };
  }

  private Decision applyRecord(ControlRecord record, ApplyContext context) {
    return switch (record) {
      case ControlRecord.LeadershipClaimed claimed -> claimLeadership(claimed, context);
      case ControlRecord.LeadershipRenewed renewed -> renewLeadership(renewed, context);
      case ControlRecord.LeadershipReleased released -> releaseLeadership(released, context);
      case ControlRecord.WriterFenced fenced -> fence(fenced, context);
      case ControlRecord.ConfigurationChanged changed ->
          configurationState.changeConfiguration(changed, context);
      case ControlRecord.DomainServiceChanged changed ->
          configurationState.changeServiceState(changed, context);
      case ControlRecord.WorkersListed listed -> updateWorkers(listed);
      case ControlRecord.WorkerQuarantineChanged changed -> changeQuarantine(changed, context);
      case ControlRecord.JobSubmitted submitted ->
          transitions.submit(submitted, configurationState.configuration(), context);
      case ControlRecord.JobsCancelled cancelled ->
          transitions.cancel(cancelled, configurationState.version(), context);
      case ControlRecord.JobRefused refused -> transitions.refuse(refused, context);
      case ControlRecord.GangReserved reserved ->
          transitions.reserve(reserved, configurationState, context);
      case ControlRecord.GangStarted started -> transitions.start(started, context);
      case ControlRecord.GangStopRequested requested -> transitions.stop(requested, context);
      case ControlRecord.GangEnded ended -> transitions.end(ended, context);
      case ControlRecord.CreditsAllocated allocated -> credits.allocate(allocated);
      case ControlRecord.RequestClaimed claimed -> requests.claim(claimed, context);
      case ControlRecord.RequestFinished finished -> requests.finish(finished, context);
      case ControlRecord.SnapshotClaimed claimed -> claimSnapshot(claimed, context);
      case ControlRecord.SettingsDecided decided -> settings.decide(decided);
    };
  }

  private Decision claimLeadership(ControlRecord.LeadershipClaimed claim, ApplyContext context) {
    if (claim.expectedTerm() != leadership.term()) {
      return Decision.of(ResultCode.FENCED, "Another replica claimed this leadership term first.");
    }
    leadership =
        new Leadership(
            leadership.term() + 1, claim.candidate(), context.atMillis(), context.offset());
    auditAtCurrentVersion(
        context, claim.candidate(), "leadership-claimed", "Term " + leadership.term() + ".");
    return Decision.ACCEPTED;
  }

  private Decision renewLeadership(ControlRecord.LeadershipRenewed renewal, ApplyContext context) {
    if (!renewal.leader().equals(leadership.leader())) {
      return Decision.of(ResultCode.FENCED, "Another replica leads.");
    }
    leadership =
        new Leadership(
            leadership.term(), leadership.leader(), context.atMillis(), context.offset());
    return Decision.ACCEPTED;
  }

  private Decision releaseLeadership(
      ControlRecord.LeadershipReleased release, ApplyContext context) {
    if (!release.leader().equals(leadership.leader())) {
      return Decision.of(ResultCode.FENCED, "Another replica leads.");
    }
    leadership = new Leadership(leadership.term(), "", context.atMillis(), context.offset());
    auditAtCurrentVersion(
        context, release.leader(), "leadership-released", "Term " + leadership.term() + ".");
    return Decision.ACCEPTED;
  }

  private Decision claimSnapshot(ControlRecord.SnapshotClaimed claim, ApplyContext context) {
    if (claim.previousOffset() != snapshotClaim.offset()) {
      return Decision.of(ResultCode.DUPLICATE, "Another replica has claimed this snapshot.");
    }
    snapshotClaim = new SnapshotClaim(claim.taker(), context.offset(), context.atMillis());
    return Decision.ACCEPTED;
  }

  private Decision fence(ControlRecord.WriterFenced fence, ApplyContext context) {
    writers.fence(context.offset(), fence.writer(), fence.sequence());
    return Decision.ACCEPTED;
  }

  private Decision updateWorkers(ControlRecord.WorkersListed listed) {
    workers.update(listed);
    return Decision.ACCEPTED;
  }

  private Decision changeQuarantine(
      ControlRecord.WorkerQuarantineChanged changed, ApplyContext context) {
    workers.changeQuarantine(changed.worker(), changed.quarantined(), changed.reason());
    String action = changed.quarantined() ? "worker-quarantined" : "worker-released";
    auditAtCurrentVersion(
        context, leadership.leader(), action, changed.worker() + ": " + changed.reason());
    return Decision.ACCEPTED;
  }

  private void auditAtCurrentVersion(
      ApplyContext context, String actor, String action, String summary) {
    audit.add(
        context,
        actor,
        action,
        configurationState.version(),
        configurationState.version(),
        summary);
  }

  /** Returns the offset of the last applied batch; -1 if there is none. */
  public long offset() {
    return offset;
  }

  /** Returns the state time, in milliseconds since the epoch. */
  public long stateMillis() {
    return clock.millis();
  }

  /** Returns the settings determined by the log; {@code null} if there are none yet. */
  public @Nullable StateSettings decidedSettings() {
    return settings.decided() == null ? null : settings.current();
  }

  /** Returns the last accepted snapshot claim. */
  public SnapshotClaim snapshotClaim() {
    return snapshotClaim;
  }

  /** Returns the highest sequence number read from the log for a writer; 0 if there is none. */
  public long lastSequence(String writer) {
    return writers.lastSequence(writer);
  }

  /** Returns an immutable copy of the whole state. */
  public StateSnapshot snapshot() {
    return new StateSnapshot(
        offset,
        settings.decided(),
        clock.millis(),
        clock.unconfirmed(),
        leadership,
        snapshotClaim,
        writers.all(),
        audit.all(),
        audit.nextPosition(),
        configurationState.configuration(),
        configurationState.version(),
        List.copyOf(workers.all()),
        new TreeMap<>(workers.quarantine()),
        jobs.live(),
        List.copyOf(jobs.ended()),
        jobs.nextSubmission(),
        new TreeMap<>(credits.all()),
        requests.all());
  }

  /** Creates a state from a snapshot. */
  public static ControlState restore(StateSettings initialSettings, StateSnapshot snapshot) {
    ControlState state = new ControlState(initialSettings);
    state.settings.restore(snapshot.settings());
    state.offset = snapshot.offset();
    state.clock.restore(snapshot.stateMillis(), snapshot.unconfirmedTime());
    state.leadership = snapshot.leadership();
    state.snapshotClaim = snapshot.snapshotClaim();
    state.writers.restore(snapshot.writers());
    state.audit.restore(snapshot.audit(), snapshot.nextAuditPosition());
    state.configurationState.restore(snapshot.configuration(), snapshot.configurationVersion());
    state.workers.restore(snapshot.workers(), snapshot.quarantine());
    state.jobs.restore(snapshot.liveJobs(), snapshot.endedJobs(), snapshot.nextSubmission());
    state.jobs.active().forEach(job -> state.workers.hold(job.placements()));
    state.credits.restore(snapshot.credits());
    state.requests.restore(snapshot.requests());
    return state;
  }

  /** Returns the current configuration. */
  public Configuration configuration() {
    return configurationState.configuration();
  }

  /** Returns the version of the current configuration, starting at 0. */
  public long configurationVersion() {
    return configurationState.version();
  }

  /** Returns the current leadership term and its leader. */
  public Leadership leadership() {
    return leadership;
  }

  /** Returns the job with the given id; {@code null} if it is unknown. */
  public @Nullable JobRecord job(String jobId) {
    return jobs.find(jobId);
  }

  /** Returns all known jobs in order of submission. */
  public List<JobRecord> jobs() {
    return jobs.all();
  }

  /** Returns a live view of the queued jobs, in order of submission. */
  public Collection<JobRecord> queuedJobs() {
    return jobs.queued();
  }

  /** Returns a live view of the jobs that hold resources, in order of submission. */
  public Collection<JobRecord> activeJobs() {
    return jobs.active();
  }

  /** Returns a live view of the retained ended jobs, in the order in which they ended. */
  public Collection<JobRecord> endedJobs() {
    return jobs.ended();
  }

  /** Returns a live view of the listed workers, in order of name. */
  public Collection<Worker> workers() {
    return workers.all();
  }

  /** Returns the worker with the given name; {@code null} if it is not listed. */
  public @Nullable Worker worker(String name) {
    return workers.find(name);
  }

  /** Returns a copy of the free accelerators of a worker; empty if the worker is not listed. */
  public BitSet freeAccelerators(String worker) {
    return workers.free(worker);
  }

  /** Returns a live view of the quarantine reasons, by worker name. */
  public SortedMap<String, String> quarantine() {
    return workers.quarantine();
  }

  /** Returns the request slots allocated to an entry, by worker name. */
  public SortedMap<String, Integer> credits(String entry) {
    return credits.forEntry(entry);
  }

  /** Returns all allocated request slots, by entry incarnation and worker name. */
  public SortedMap<String, TreeMap<String, Integer>> credits() {
    return credits.all();
  }

  /** Returns a claimed or finished request; {@code null} if it is unknown. */
  public @Nullable RequestRecord request(String customer, String key) {
    return requests.find(customer, key);
  }

  /** Returns the number of retained requests. */
  public int requestCount() {
    return requests.size();
  }

  /** Returns at most {@code limit} audit entries, starting at a position. */
  public List<AuditEntry> audit(long fromPosition, int limit) {
    return audit.entriesFrom(fromPosition, limit);
  }
}
