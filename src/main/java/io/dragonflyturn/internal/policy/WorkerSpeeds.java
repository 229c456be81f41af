package io.dragonflyturn.internal.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns how fast each worker runs tasks, from the run times of like tasks on different workers.
 *
 * <p>The load that it answers: a part of the workers takes twice as long as the others, which
 * nothing announces, while declared run times are far off and a few tasks take many times as long
 * as their like.
 *
 * <p>For example, if the tasks of a step take 2 s on most workers and 4 s on worker {@code w7}, and
 * at least two tasks say so, {@code speedOf("w7", 1, now).factor()} is 0.5.
 */
public final class WorkerSpeeds {
  /** How many of the latest tasks of a worker count. */
  private static final int SAMPLES_PER_WORKER = 16;

  /** How many of these may belong to the same step, whose tasks may be unusual together. */
  private static final int SAMPLES_PER_STEP = 4;

  /** How long a task counts after it was last observed, in milliseconds. */
  private static final long MAXIMUM_AGE_MILLIS = 120_000;

  /** How long an estimate is used before later samples count, in milliseconds. */
  private static final long REFRESH_INTERVAL_MILLIS = 250;

  private final Map<String, History> workers = new HashMap<>();
  private final Map<String, Double> logSpeeds = new HashMap<>();
  private boolean stale;
  private long estimatedMillis = Long.MIN_VALUE / 2;

  /** Records the pace of a task; it replaces what was recorded of the same run before. */
  public void observe(TaskPace pace, long nowMillis) {
    if (pace.durationMillis() <= 0) {
      return;
    }
    History history = workers.get(pace.worker());
    if (history == null || history.incarnation < pace.incarnation()) {
      history = new History(pace.incarnation());
      workers.put(pace.worker(), history);
      logSpeeds.remove(pace.worker());
    }
    if (history.incarnation == pace.incarnation()) {
      history.add(pace, nowMillis);
      stale = true;
    }
  }

  /** Forgets a worker that has left. */
  public void forget(String worker) {
    stale = workers.remove(worker) != null || stale;
  }

  /** Returns the speed of a worker in its present incarnation. */
  public WorkerSpeed speedOf(String worker, long incarnation, long nowMillis) {
    refresh(nowMillis);
    History history = workers.get(worker);
    Double logSpeed = logSpeeds.get(worker);
    if (history == null || logSpeed == null || history.incarnation != incarnation) {
      return WorkerSpeed.UNKNOWN;
    }
    int samples = history.countSince(nowMillis - MAXIMUM_AGE_MILLIS);
    return samples == 0
        ? WorkerSpeed.UNKNOWN
        : new WorkerSpeed(Math.exp(logSpeed), samples, nowMillis - history.latestMillis());
  }

  private void refresh(long nowMillis) {
    if (!stale || nowMillis - estimatedMillis < REFRESH_INTERVAL_MILLIS) {
      return;
    }
    List<TaskPace> paces = new ArrayList<>();
    for (History history : workers.values()) {
      history.removeBefore(nowMillis - MAXIMUM_AGE_MILLIS);
      history.samples.values().forEach(sample -> paces.add(sample.pace));
    }
    logSpeeds.clear();
    logSpeeds.putAll(SpeedEstimate.logSpeeds(paces));
    stale = false;
    estimatedMillis = nowMillis;
  }

  /** The latest tasks of a worker in one incarnation. */
  private static final class History {
    private final long incarnation;
    private final Map<String, Sample> samples = new LinkedHashMap<>();

    History(long incarnation) {
      this.incarnation = incarnation;
    }

    void add(TaskPace pace, long nowMillis) {
      if (!samples.containsKey(pace.task()) && countOf(pace.stepKey()) >= SAMPLES_PER_STEP) {
        return;
      }
      samples.put(pace.task(), new Sample(pace, nowMillis));
      if (samples.size() > SAMPLES_PER_WORKER) {
        samples.remove(samples.keySet().iterator().next());
      }
    }

    private long countOf(String stepKey) {
      return samples.values().stream()
          .filter(sample -> sample.pace.stepKey().equals(stepKey))
          .count();
    }

    void removeBefore(long millis) {
      samples.values().removeIf(sample -> sample.observedMillis < millis);
    }

    int countSince(long millis) {
      return (int) samples.values().stream().filter(each -> each.observedMillis >= millis).count();
    }

    long latestMillis() {
      Collection<Sample> all = samples.values();
      return all.stream().mapToLong(sample -> sample.observedMillis).max().orElse(0);
    }
  }

  /** The pace of a task, and when it was observed last. */
  private record Sample(TaskPace pace, long observedMillis) {}
}
