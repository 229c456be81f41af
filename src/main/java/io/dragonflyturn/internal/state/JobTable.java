package io.dragonflyturn.internal.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** All known jobs, indexed by id and by whether they are queued, active, or ended. */
final class JobTable {
  private final EffectiveSettings settings;
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private final TreeMap<Long, JobRecord> queued = new TreeMap<>();
  private final TreeMap<Long, JobRecord> active = new TreeMap<>();
  private final LinkedHashMap<String, JobRecord> ended = new LinkedHashMap<>();
  private long nextSubmission;

  JobTable(EffectiveSettings settings) {
    this.settings = settings;
  }

  @Nullable JobRecord find(String jobId) {
    return jobs.get(jobId);
  }

  long allocateSubmission() {
    long submission = nextSubmission;
    nextSubmission++;
    return submission;
  }

  void put(JobRecord job) {
    jobs.put(job.id(), job);
    queued.remove(job.submission());
    active.remove(job.submission());
    if (job.phase() == JobPhase.QUEUED) {
      queued.put(job.submission(), job);
    } else if (job.phase().holdsResources()) {
      active.put(job.submission(), job);
    } else {
      ended.put(job.id(), job);
    }
  }

  /** Removes ended jobs whose retention has expired. */
  void prune(long stateMillis) {
    long cutoffMillis = stateMillis - settings.current().endedJobRetention().toMillis();
    while (!ended.isEmpty()) {
      JobRecord oldest = ended.values().iterator().next();
      if (oldest.endedAtMillis() >= cutoffMillis) {
        return;
      }
      ended.remove(oldest.id());
      jobs.remove(oldest.id());
    }
  }

  /** Returns the queued jobs in order of submission. */
  Collection<JobRecord> queued() {
    return Collections.unmodifiableCollection(queued.values());
  }

  /** Returns the jobs that hold resources, in order of submission. */
  Collection<JobRecord> active() {
    return Collections.unmodifiableCollection(active.values());
  }

  /** Returns the ended jobs, in the order in which they ended. */
  Collection<JobRecord> ended() {
    return Collections.unmodifiableCollection(ended.values());
  }

  /** Returns all jobs in order of submission. */
  List<JobRecord> all() {
    List<JobRecord> sorted = new ArrayList<>(jobs.values());
    sorted.sort(Comparator.comparingLong(JobRecord::submission));
    return sorted;
  }

  /** Returns the jobs that have not ended, in order of submission. */
  List<JobRecord> live() {
    List<JobRecord> live = new ArrayList<>(queued.values());
    live.addAll(active.values());
    live.sort(Comparator.comparingLong(JobRecord::submission));
    return live;
  }

  int size() {
    return jobs.size();
  }

  long nextSubmission() {
    return nextSubmission;
  }

  void restore(
      Collection<JobRecord> savedLive, Collection<JobRecord> savedEnded, long savedNextSubmission) {
    jobs.clear();
    queued.clear();
    active.clear();
    ended.clear();
    savedLive.forEach(this::put);
    savedEnded.forEach(this::put);
    nextSubmission = savedNextSubmission;
  }
}
