package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.util.List;
import java.util.function.Predicate;

/**
 * Writes what a leader records in the jobs topic: the states of jobs, the heartbeats that keep
 * other instances from proposing themselves, and the removal of jobs that ended long ago.
 */
final class JobRecords implements AutoCloseable {
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  /** How long the records of an ended job are kept, so that callers can still read its state. */
  private static final long ENDED_JOB_RETENTION_MILLIS = 300_000;

  private final DispatchContext context;
  private final long term;
  private final SequencedWriter writer;
  private final Predicate<String> isActive;
  private final RunDriver.Listener listener;
  private long lastWriteMillis;

  /**
   * Creates a writer of a leader's records.
   *
   * @param isActive tells whether the leader still follows a job
   * @param listener is told when a record is not accepted, or a later leader has written
   */
  JobRecords(
      DispatchContext context,
      long term,
      SequencedWriter writer,
      Predicate<String> isActive,
      RunDriver.Listener listener) {
    this.context = context;
    this.term = term;
    this.writer = writer;
    this.isActive = isActive;
    this.listener = listener;
    this.lastWriteMillis = context.nowMillis();
  }

  @Override
  public void close() {
    writer.close();
  }

  /** Writes that the leadership is released, and runs an action when the write has completed. */
  void release(Runnable onStored) {
    writer.write(leadershipRecord(true)).thenAccept(result -> onStored.run());
  }

  /** Returns the record that names the leader of the term. */
  KeyedRecord leadershipRecord(boolean released) {
    LeadershipRecord record = new LeadershipRecord(term, context.instance(), released);
    return new KeyedRecord(LedgerKeys.LEADER, record.encode());
  }

  /** Records a new state of a job, unless it already has this state or has ended. */
  void recordState(ActiveJob job, JobState state) {
    if (job.entry().recordedState() == state || job.entry().recordedState().isTerminal()) {
      return;
    }
    job.entry().transitionTo(state, context.nowMillis());
    context
        .events()
        .event("job-" + state)
        .with("job", job.id())
        .with("queue", job.submission().queue().name())
        .with("sinceReceivedMillis", context.nowMillis() - job.receivedMillis())
        .with("term", term)
        .write();
    write(new KeyedRecord(LedgerKeys.state(job.id()), WorkloadCodec.encodeJobState(state)));
  }

  private void write(KeyedRecord change) {
    lastWriteMillis = context.nowMillis();
    writer
        .write(change)
        .thenAccept(
            result -> {
              if (result == WriteResult.INVALID) {
                listener.recordNotAccepted();
              } else if (result == WriteResult.FENCED) {
                listener.fenced();
              }
            });
  }

  /**
   * Writes a leadership record if nothing was written for the heartbeat interval, so that no other
   * instance proposes itself.
   */
  void writeHeartbeatIfDue() {
    if (context.nowMillis() - lastWriteMillis < HEARTBEAT_INTERVAL_MILLIS || !writer.isIdle()) {
      return;
    }
    write(leadershipRecord(false));
    removeExpiredJobs();
  }

  private void removeExpiredJobs() {
    for (JobEntry entry : List.copyOf(context.directory().jobs())) {
      boolean expired =
          entry.endedAtMillis() != 0
              && context.nowMillis() - entry.endedAtMillis() > ENDED_JOB_RETENTION_MILLIS
              && !isActive.test(entry.submission().id());
      if (expired) {
        String id = entry.submission().id();
        write(new KeyedRecord(LedgerKeys.state(id), null));
        write(new KeyedRecord(LedgerKeys.cancellation(id), null));
        write(new KeyedRecord(LedgerKeys.submission(id), null));
      }
    }
  }
}
