package io.dragonflyturn.internal.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A proposed change of the control state.
 *
 * <p>{@link ControlState#apply} accepts or rejects each record in log order. The subtype names and
 * record components are the stored format.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlRecord.LeadershipClaimed.class, name = "lc"),
  @JsonSubTypes.Type(value = ControlRecord.LeadershipRenewed.class, name = "lr"),
  @JsonSubTypes.Type(value = ControlRecord.LeadershipReleased.class, name = "lx"),
  @JsonSubTypes.Type(value = ControlRecord.WriterFenced.class, name = "wf"),
  @JsonSubTypes.Type(value = ControlRecord.ConfigurationChanged.class, name = "cc"),
  @JsonSubTypes.Type(value = ControlRecord.DomainServiceChanged.class, name = "ds"),
  @JsonSubTypes.Type(value = ControlRecord.WorkersListed.class, name = "wl"),
  @JsonSubTypes.Type(value = ControlRecord.WorkerQuarantineChanged.class, name = "wq"),
  @JsonSubTypes.Type(value = ControlRecord.JobSubmitted.class, name = "js"),
  @JsonSubTypes.Type(value = ControlRecord.JobsCancelled.class, name = "jc"),
  @JsonSubTypes.Type(value = ControlRecord.JobRefused.class, name = "jr"),
  @JsonSubTypes.Type(value = ControlRecord.GangReserved.class, name = "gr"),
  @JsonSubTypes.Type(value = ControlRecord.GangStarted.class, name = "gs"),
  @JsonSubTypes.Type(value = ControlRecord.GangStopRequested.class, name = "gx"),
  @JsonSubTypes.Type(value = ControlRecord.GangEnded.class, name = "ge"),
  @JsonSubTypes.Type(value = ControlRecord.CreditsAllocated.class, name = "ca"),
  @JsonSubTypes.Type(value = ControlRecord.RequestClaimed.class, name = "rc"),
  @JsonSubTypes.Type(value = ControlRecord.RequestFinished.class, name = "rf"),
  @JsonSubTypes.Type(value = ControlRecord.SnapshotClaimed.class, name = "sc"),
  @JsonSubTypes.Type(value = ControlRecord.SettingsDecided.class, name = "sd")
})
public sealed interface ControlRecord {

  /**
   * Claims leadership for the next term. Accepted if {@code expectedTerm} is the current term.
   *
   * @param candidate the incarnation of the replica that claims leadership
   * @param expectedTerm the term that was current when the claim was proposed
   */
  record LeadershipClaimed(String candidate, long expectedTerm) implements ControlRecord {}

  /** Renews the leadership lease for the term of the envelope. */
  record LeadershipRenewed(String leader) implements ControlRecord {}

  /** Releases leadership, so that another replica can claim it without waiting for the lease. */
  record LeadershipReleased(String leader) implements ControlRecord {}

  /**
   * Fences a writer: rejects its envelopes up to and including a sequence number unless they were
   * applied before this record.
   *
   * @param writer the incarnation of the fenced writer
   * @param sequence the highest fenced sequence number
   */
  record WriterFenced(String writer, long sequence) implements ControlRecord {}

  /** Replaces the configuration. Accepted if {@code baseVersion} is the current version. */
  record ConfigurationChanged(
      long baseVersion, Configuration configuration, String actor, String summary)
      implements ControlRecord {}

  /**
   * Takes a failure domain out of service or brings it back, and increments the configuration
   * version.
   *
   * @param baseVersion the configuration version that the change is based on; -1 matches any
   *     version
   * @param failureDomain the name of the failure domain
   * @param serviceState the new service state
   * @param leaveWithinMillis the time that running work has to leave the domain, in milliseconds
   * @param actor the operator that made the change
   */
  record DomainServiceChanged(
      long baseVersion,
      String failureDomain,
      ServiceState serviceState,
      long leaveWithinMillis,
      String actor)
      implements ControlRecord {}

  /** Adds, updates, and removes workers, as observed by the leader. */
  record WorkersListed(List<Worker> changed, List<String> removed) implements ControlRecord {}

  /** Puts a worker into quarantine or releases it. */
  record WorkerQuarantineChanged(String worker, boolean quarantined, String reason)
      implements ControlRecord {}

  /**
   * Submits a job. Submitting the same id again for the same customer has no effect and returns
   * {@link ResultCode#JOINED}.
   */
  record JobSubmitted(JobSpecification job) implements ControlRecord {}

  /** Cancels jobs. Unknown and ended jobs are ignored. */
  record JobsCancelled(List<String> jobIds, String actor) implements ControlRecord {}

  /** Ends a queued job that can never be placed. Proposed by the leader. */
  record JobRefused(String jobId, ResultCode code, String reason) implements ControlRecord {}

  /**
   * Reserves workers and accelerators for all members of a gang. Proposed by the leader.
   *
   * @param jobId the id of the job
   * @param attempt the attempt number, one higher than that of the previous attempt
   * @param placements one placement for each member
   * @param reason a human-readable reason for the placement
   * @param configurationVersion the configuration version that the placement decision was based on;
   *     {@link #UNKNOWN_VERSION} in records that were written before this field was added
   */
  record GangReserved(
      String jobId,
      int attempt,
      List<MemberPlacement> placements,
      String reason,
      long configurationVersion)
      implements ControlRecord {
    /**
     * The value of {@code configurationVersion} if the stored record has none. It is distinct from
     * all real values because version 0 is the empty configuration, which has no failure domains in
     * which a gang could be placed.
     */
    public static final long UNKNOWN_VERSION = 0;
  }

  /** Marks an attempt as running, after all its members reported that they run. */
  record GangStarted(String jobId, int attempt) implements ControlRecord {}

  /** Requests that an attempt stops, after a checkpoint if the job is checkpointable. */
  record GangStopRequested(String jobId, int attempt, StopReason stopReason, String reason)
      implements ControlRecord {}

  /**
   * Ends an attempt after all its members have ended, and releases its resources.
   *
   * @param jobId the id of the job
   * @param attempt the attempt number
   * @param outcome how the attempt ended
   * @param completedSeconds the work preserved over all attempts, in seconds of job run time
   * @param failedWorkers the workers on which a member failed
   */
  record GangEnded(
      String jobId,
      int attempt,
      GangOutcome outcome,
      double completedSeconds,
      List<String> failedWorkers)
      implements ControlRecord {}

  /**
   * Replaces the allocation of worker request slots to entries.
   *
   * @param slots the number of slots, by entry incarnation and worker name
   */
  record CreditsAllocated(Map<String, Map<String, Integer>> slots) implements ControlRecord {}

  /**
   * Claims a request for an entry before the entry sends it to a worker. Only the first claim of a
   * key is accepted, so that the request is sent at most once.
   *
   * @param key the caller's idempotency key, unique within the customer
   * @param customer the customer that made the request
   * @param owner the incarnation of the only entry that may send the request
   * @param createdAtMillis when the caller created the key, in milliseconds since the epoch
   */
  record RequestClaimed(String key, String customer, String owner, long createdAtMillis)
      implements ControlRecord {}

  /** Records the outcome and the complete answer of a request. Proposed by its owner. */
  record RequestFinished(String key, String customer, String owner, ResultCode code, String answer)
      implements ControlRecord {}

  /**
   * Claims the next snapshot for a replica. The snapshot covers the state after the batch that
   * contains this record.
   *
   * @param taker the incarnation of the replica that writes the snapshot
   * @param previousOffset the offset of the last accepted claim; -1 if there is none
   */
  record SnapshotClaimed(String taker, long previousOffset) implements ControlRecord {}

  /**
   * Proposes the state settings. The first such record in the log determines the settings of all
   * replicas.
   *
   * @param requestRetentionMillis see {@link StateSettings#requestRetention}
   * @param endedJobRetentionMillis see {@link StateSettings#endedJobRetention}
   * @param requestFutureToleranceMillis see {@link StateSettings#requestFutureTolerance}
   * @param auditEntries see {@link StateSettings#auditEntries}
   * @param writerWindow see {@link StateSettings#writerWindow}
   */
  record SettingsDecided(
      long requestRetentionMillis,
      long endedJobRetentionMillis,
      long requestFutureToleranceMillis,
      int auditEntries,
      long writerWindow)
      implements ControlRecord {
    /** Returns a record that proposes the given settings. */
    public static SettingsDecided of(StateSettings settings) {
      return new SettingsDecided(
          settings.requestRetention().toMillis(),
          settings.endedJobRetention().toMillis(),
          settings.requestFutureTolerance().toMillis(),
          settings.auditEntries(),
          settings.writerWindow());
    }

    StateSettings settings() {
      return new StateSettings(
          Duration.ofMillis(requestRetentionMillis),
          Duration.ofMillis(endedJobRetentionMillis),
          Duration.ofMillis(requestFutureToleranceMillis),
          auditEntries,
          writerWindow);
    }
  }

  /** The reason for which an attempt is stopped. */
  enum StopReason {
    /** The accelerators are reclaimed for a guarantee or for urgent work. */
    RECLAIMED,
    /** The failure domain is being taken out of service. */
    DOMAIN_LEAVING,
    /** The job was cancelled. */
    CANCELLED,
    /** A member or its worker was lost while the gang was running. */
    MEMBER_LOST,
    /** Not all members started within the start timeout. */
    START_TIMEOUT
  }

  /** How an attempt ended. */
  enum GangOutcome {
    /** Every member finished its work. */
    COMPLETED,
    /** A member failed. */
    FAILED,
    /** The attempt was stopped or lost a member; the job returns to the queue. */
    STOPPED
  }
}
