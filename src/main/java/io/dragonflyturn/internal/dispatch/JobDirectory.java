package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.TopicListener;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The jobs, the current leadership, and the addresses of instances, as replayed from the jobs
 * topic. Must be used on the event loop only.
 *
 * <p>Repeated submissions with the same job identifier are ignored. A job that has reached a final
 * state does not leave it.
 */
public final class JobDirectory implements TopicListener {
  private final InstantSource monotonicClock;
  private final EventLog events;
  private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
  private final Map<String, String> instanceAddresses = new LinkedHashMap<>();
  private LeadershipRecord leadership = LeadershipRecord.NONE;
  private @Nullable Observer observer;

  /**
   * Creates an empty directory.
   *
   * @param monotonicClock a clock that never goes back
   * @param events the event log
   */
  public JobDirectory(InstantSource monotonicClock, EventLog events) {
    this.monotonicClock = monotonicClock;
    this.events = events;
  }

  /** Sets the observer that is notified of changes. */
  public void setObserver(Observer newObserver) {
    observer = newObserver;
  }

  /** Returns a job; null if there is none with the identifier. */
  public @Nullable JobEntry job(String id) {
    return jobs.get(id);
  }

  /** Returns all jobs in the order of their submission records. */
  public Collection<JobEntry> jobs() {
    return jobs.values();
  }

  /** Returns the addresses that instances have stored for their peers, by instance name. */
  public Map<String, String> instanceAddresses() {
    return instanceAddresses;
  }

  /** Returns the latest leadership record. */
  LeadershipRecord leadership() {
    return leadership;
  }

  /** Returns the number of queued jobs of a queue, not counting jobs with due times. */
  public int countWaitingJobs(String queue) {
    int waiting = 0;
    for (JobEntry entry : jobs.values()) {
      boolean isWaiting =
          entry.state() == JobState.QUEUED
              && entry.submission().queue().name().equals(queue)
              && !entry.submission().recurrence().isTimed();
      waiting += isWaiting ? 1 : 0;
    }
    return waiting;
  }

  @Override
  public void reset(Map<String, byte[]> latestValues) {
    jobs.keySet().removeIf(id -> !latestValues.containsKey(LedgerKeys.submission(id)));
    Map<String, byte[]> otherRecords = new HashMap<>();
    latestValues.forEach(
        (key, value) -> {
          if (LedgerKeys.isSubmission(key)) {
            apply(new KeyedRecord(key, value));
          } else {
            otherRecords.put(key, value);
          }
        });
    otherRecords.forEach((key, value) -> apply(new KeyedRecord(key, value)));
  }

  @Override
  public void apply(KeyedRecord change) {
    try {
      applyRecord(change);
    } catch (UncheckedIOException | IndexOutOfBoundsException unreadable) {
      events.event("record-unreadable").with("key", change.key()).with("cause", unreadable).write();
    }
  }

  @Override
  public void advancedTo(long nextOffset) {
    if (observer != null) {
      observer.advancedTo(nextOffset);
    }
  }

  private void applyRecord(KeyedRecord change) {
    byte @Nullable [] value = change.value();
    if (change.key().equals(LedgerKeys.LEADER)) {
      applyLeadership(value);
      return;
    }
    String id = change.key().substring(1);
    if (value == null) {
      if (LedgerKeys.isSubmission(change.key())) {
        jobs.remove(id);
      }
      return;
    }
    switch (change.key().charAt(0)) {
      case LedgerKeys.SUBMISSION -> applySubmission(id, value);
      case LedgerKeys.CANCELLATION -> applyCancellation(id);
      case LedgerKeys.STATE -> applyState(id, value);
      case LedgerKeys.INSTANCE ->
          instanceAddresses.put(id, new String(value, StandardCharsets.UTF_8));
      default -> events.event("record-unknown").with("key", change.key()).write();
    }
  }

  private void applyLeadership(byte @Nullable [] value) {
    if (value == null) {
      return;
    }
    LeadershipRecord next = LeadershipRecord.decode(value);
    if (next.term() < leadership.term()) {
      return;
    }
    leadership = next;
    if (observer != null) {
      observer.leadershipRead(next);
    }
  }

  private void applySubmission(String id, byte[] value) {
    if (jobs.containsKey(id)) {
      return;
    }
    JobEntry entry = new JobEntry(WorkloadCodec.decodeSubmission(value));
    jobs.put(id, entry);
    if (observer != null) {
      observer.submitted(entry);
    }
  }

  private void applyCancellation(String id) {
    JobEntry entry = jobs.get(id);
    if (entry == null || entry.isCancelled() || entry.recordedState().isTerminal()) {
      return;
    }
    entry.markCancelled();
    if (observer != null) {
      observer.cancelled(entry);
    }
  }

  private void applyState(String id, byte[] value) {
    if (observer != null) {
      observer.leaderActive();
    }
    JobEntry entry = jobs.get(id);
    if (entry != null) {
      entry.transitionTo(WorkloadCodec.decodeJobState(value), monotonicClock.millis());
    }
  }

  /** Receives notifications of changes, on the event loop. */
  public interface Observer {
    /** Called when a job has been submitted. */
    void submitted(JobEntry entry);

    /** Called when a job has been cancelled before it ended. */
    void cancelled(JobEntry entry);

    /** Called when a leadership record has been read. */
    void leadershipRead(LeadershipRecord record);

    /** Called when a record has been read that only the leader writes. */
    void leaderActive();

    /** Called when all records before an offset have been applied. */
    void advancedTo(long nextOffset);
  }
}
