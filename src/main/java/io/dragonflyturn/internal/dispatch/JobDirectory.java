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
 * All jobs, who leads, and where instances are, folded from the jobs topic. Used on the event loop
 * only.
 *
 * <p>A repeated submission of the same identifier joins the first. An end is final.
 */
public final class JobDirectory implements TopicListener {
  private final InstantSource monotonicClock;
  private final EventLog events;
  private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
  private final Map<String, String> instanceAddresses = new LinkedHashMap<>();
  private LeadershipRecord leadership = LeadershipRecord.NONE;
  private @Nullable Observer observer;

  /** Creates an empty directory. */
  public JobDirectory(InstantSource monotonicClock, EventLog events) {
    this.monotonicClock = monotonicClock;
    this.events = events;
  }

  /** Sets who is told of changes. */
  public void setObserver(Observer next) {
    observer = next;
  }

  /** Returns a job; null where there is none. */
  public @Nullable JobEntry job(String id) {
    return jobs.get(id);
  }

  /** Returns all jobs in the order in which they were accepted. */
  public Collection<JobEntry> jobs() {
    return jobs.values();
  }

  /** Returns where peers reach each instance that ever stored it, by the instance's name. */
  public Map<String, String> instanceAddresses() {
    return instanceAddresses;
  }

  /** Returns how many jobs of a queue that start at once have not begun. */
  public int countWaitingJobs(String queue) {
    int waiting = 0;
    for (JobEntry entry : jobs.values()) {
      boolean counts =
          entry.state() == JobState.QUEUED
              && entry.submission().queue().name().equals(queue)
              && !entry.submission().recurrence().isTimed();
      waiting += counts ? 1 : 0;
    }
    return waiting;
  }

  @Override
  public void reset(Map<String, byte[]> newest) {
    jobs.keySet().removeIf(id -> !newest.containsKey(LedgerKeys.submission(id)));
    Map<String, byte[]> later = new HashMap<>();
    newest.forEach(
        (key, value) -> {
          if (key.charAt(0) == LedgerKeys.SUBMISSION) {
            apply(new KeyedRecord(key, value));
          } else {
            later.put(key, value);
          }
        });
    later.forEach((key, value) -> apply(new KeyedRecord(key, value)));
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
  public void reached(long nextOffset) {
    if (observer != null) {
      observer.reached(nextOffset);
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
      if (change.key().charAt(0) == LedgerKeys.SUBMISSION) {
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

  /** Is told of changes, on the event loop. */
  public interface Observer {
    /** A job was accepted. */
    void submitted(JobEntry entry);

    /** A job was cancelled before its end. */
    void cancelled(JobEntry entry);

    /** A leadership record was read. */
    void leadershipRead(LeadershipRecord record);

    /** A record was read that only the leader writes. */
    void leaderActive();

    /** All records up to an offset have been applied. */
    void reached(long nextOffset);
  }
}
