package io.dragonflyturn.internal.state;

import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Worker;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * An immutable copy of the whole control state. Equal states are encoded to equal bytes.
 *
 * @param offset the offset of the last applied batch
 * @param settings the settings determined by the log; {@code null} if there are none yet
 * @param stateMillis the state time, in milliseconds since the epoch
 * @param unconfirmedTime an unconfirmed timestamp ahead of the state time; {@code null} if none
 * @param leadership the current leadership term and its leader
 * @param snapshotClaim the last accepted snapshot claim
 * @param writers the position of each writer, the least recently active first
 * @param audit the audit trail
 * @param nextAuditPosition the position of the next audit entry
 * @param configuration the current configuration
 * @param configurationVersion the version of the current configuration
 * @param workers the listed workers, by name
 * @param quarantine the quarantine reasons, by worker name
 * @param liveJobs the jobs that have not ended, in order of submission
 * @param endedJobs the ended jobs, in the order in which they ended
 * @param nextSubmission the next submission number
 * @param credits the allocated request slots, by entry incarnation and worker name
 * @param requests the claimed and finished requests, the oldest first
 */
public record StateSnapshot(
    long offset,
    ControlRecord.@Nullable SettingsDecided settings,
    long stateMillis,
    @Nullable UnconfirmedTime unconfirmedTime,
    Leadership leadership,
    SnapshotClaim snapshotClaim,
    List<WriterPosition> writers,
    List<AuditEntry> audit,
    long nextAuditPosition,
    Configuration configuration,
    long configurationVersion,
    List<Worker> workers,
    SortedMap<String, String> quarantine,
    List<JobRecord> liveJobs,
    List<JobRecord> endedJobs,
    long nextSubmission,
    SortedMap<String, TreeMap<String, Integer>> credits,
    List<RequestRecord> requests) {

  /** Returns this snapshot encoded as MessagePack. */
  public byte[] encode() {
    return MessagePackCodec.encode(this);
  }

  /**
   * Decodes a snapshot.
   *
   * @throws io.dragonflyturn.DragonflyturnException if the content is not a valid snapshot
   */
  public static StateSnapshot decode(byte[] content) {
    return MessagePackCodec.decode(content, StateSnapshot.class);
  }
}
