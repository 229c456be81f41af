package io.dragonflyturn.internal.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the speeds of workers from the run times of like tasks, by medians in turn (Tukey's
 * median polish): the typical run time of each step at the speeds found so far, then the speed of
 * each worker against these run times. One task that takes many times as long changes neither.
 *
 * <p>A step that ran on few workers may have met mostly slow ones, so its run time is blended with
 * that of its queue, as far as the steps of the queue are alike.
 */
final class SpeedEstimate {
  private static final int ROUNDS = 3;

  /** The number of workers from which a step has a run time of its own. */
  private static final int MINIMUM_STEP_WORKERS = 3;

  /** The number of steps from which a queue has a typical run time. */
  private static final int MINIMUM_QUEUE_STEPS = 3;

  /** How unlike the steps of a queue may be to be compared with each other, as a log deviation. */
  private static final double MAXIMUM_QUEUE_SPREAD = 0.6;

  /** The variance that one worker adds to the log run time of a step, if speeds are uneven. */
  private static final double WORKER_VARIANCE = 0.12;

  private final Collection<TaskPace> paces;
  private final Map<String, Set<String>> workersByStep = new HashMap<>();
  private final Map<String, Double> logSpeeds = new HashMap<>();

  private SpeedEstimate(Collection<TaskPace> paces) {
    this.paces = paces;
    for (TaskPace pace : paces) {
      workersByStep.computeIfAbsent(pace.stepKey(), key -> new HashSet<>()).add(pace.worker());
    }
  }

  /**
   * Returns the logarithm of the speed of each worker whose tasks can be compared with others; 0 is
   * the speed of a typical worker.
   */
  static Map<String, Double> logSpeeds(Collection<TaskPace> paces) {
    SpeedEstimate estimate = new SpeedEstimate(paces);
    for (int round = 0; round < ROUNDS; round++) {
      estimate.improve();
    }
    return estimate.cautiousLogSpeeds();
  }

  /** Takes the median of what the tasks of each worker say for its speed. */
  private void improve() {
    logSpeeds.clear();
    centeredDeviations().forEach((worker, values) -> logSpeeds.put(worker, Medians.median(values)));
  }

  /** Returns the speeds, with those of few tasks rather too close to a typical one. */
  private Map<String, Double> cautiousLogSpeeds() {
    Map<String, Double> cautious = new HashMap<>();
    centeredDeviations()
        .forEach((worker, values) -> cautious.put(worker, Medians.cautiousMedian(values)));
    return cautious;
  }

  /** Returns the deviations, shifted so that those of the median worker are around 0. */
  private Map<String, List<Double>> centeredDeviations() {
    Map<String, List<Double>> deviations = deviations();
    if (!deviations.isEmpty()) {
      double typical = Medians.median(deviations.values().stream().map(Medians::median).toList());
      deviations.values().forEach(values -> values.replaceAll(value -> value - typical));
    }
    return deviations;
  }

  /** Returns how much faster than typical each task of each worker was. */
  private Map<String, List<Double>> deviations() {
    Map<String, Double> references = references();
    Map<String, List<Double>> deviations = new HashMap<>();
    for (TaskPace pace : paces) {
      Double reference = references.get(pace.stepKey());
      if (reference != null) {
        deviations
            .computeIfAbsent(pace.worker(), key -> new ArrayList<>())
            .add(reference - Math.log(pace.durationMillis()));
      }
    }
    return deviations;
  }

  /** Returns the log run time on a typical worker, for each step that has one. */
  private Map<String, Double> references() {
    Map<String, Double> steps = stepMedians();
    Map<String, Typical> queues = queues(steps);
    Map<String, Double> references = new HashMap<>();
    for (TaskPace pace : paces) {
      Double reference = reference(pace.stepKey(), steps, queues.get(pace.queue()));
      if (reference != null) {
        references.put(pace.stepKey(), reference);
      }
    }
    return references;
  }

  private Map<String, Double> stepMedians() {
    Map<String, List<Double>> values = new HashMap<>();
    for (TaskPace pace : paces) {
      values.computeIfAbsent(pace.stepKey(), key -> new ArrayList<>()).add(atTypicalSpeed(pace));
    }
    Map<String, Double> medians = new HashMap<>();
    values.forEach((step, logMillis) -> medians.put(step, Medians.median(logMillis)));
    return medians;
  }

  private double atTypicalSpeed(TaskPace pace) {
    return Math.log(pace.durationMillis()) + logSpeeds.getOrDefault(pace.worker(), 0.0);
  }

  /** Returns what is typical of the queues whose steps are alike enough to be compared. */
  private Map<String, Typical> queues(Map<String, Double> steps) {
    Map<String, Map<String, Double>> stepsByQueue = new HashMap<>();
    for (TaskPace pace : paces) {
      double median = steps.getOrDefault(pace.stepKey(), 0.0);
      stepsByQueue
          .computeIfAbsent(pace.queue(), key -> new HashMap<>())
          .put(pace.stepKey(), median);
    }
    Map<String, Typical> queues = new HashMap<>();
    stepsByQueue.forEach(
        (queue, medians) -> {
          Typical typical = Typical.of(medians.values());
          if (medians.size() >= MINIMUM_QUEUE_STEPS && typical.spread <= MAXIMUM_QUEUE_SPREAD) {
            queues.put(queue, typical);
          }
        });
    return queues;
  }

  /** Returns the log run time of a step on a typical worker; null if nothing tells it. */
  private @Nullable Double reference(
      String stepKey, Map<String, Double> steps, @Nullable Typical queue) {
    int stepWorkers = workersByStep.getOrDefault(stepKey, Set.of()).size();
    if (stepWorkers < MINIMUM_STEP_WORKERS) {
      return queue == null ? null : queue.logMillis;
    }
    Double own = steps.get(stepKey);
    if (own == null || queue == null) {
      return own;
    }
    double queueVariance = queue.spread * queue.spread;
    double ownShare = queueVariance / (queueVariance + WORKER_VARIANCE / stepWorkers);
    return ownShare * own + (1 - ownShare) * queue.logMillis;
  }

  /** The typical log run time of the steps of a queue, and how much they differ. */
  private record Typical(double logMillis, double spread) {
    static Typical of(Collection<Double> values) {
      return new Typical(Medians.median(values), Medians.spread(values));
    }
  }
}
