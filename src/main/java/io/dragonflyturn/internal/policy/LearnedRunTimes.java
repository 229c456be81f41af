package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Expects run times from the ended tasks of a queue, as far as declared run times were wrong there.
 *
 * <p>The load that it answers: callers declare run times that are off by nearly a factor of two, so
 * objectives and expected ends that follow from them are wrong, too.
 *
 * <p>The declared time, corrected by how far the declared times of the queue were off typically, is
 * blended with the typical run time of the queue. Each weighs more, the less its tasks differ from
 * it. A queue in which declarations are right, or whose steps are unlike, keeps to the declared
 * times.
 */
public final class LearnedRunTimes implements RunTimes {
  /** The number of ended tasks that are remembered of a queue. */
  private static final int TASKS_PER_QUEUE = 64;

  /** How many of these may belong to the same step, which tells little about the others. */
  private static final int TASKS_PER_STEP = 4;

  /** The number of ended tasks below which the declared time is used. */
  private static final int MINIMUM_TASKS = 12;

  /** The smallest deviation of a log run time that is believed. */
  private static final double MINIMUM_DEVIATION = 0.05;

  private final Map<String, Deque<Ended>> queues = new HashMap<>();
  private final Map<String, Typical> typicalByQueue = new HashMap<>();

  /**
   * Records how long a task took.
   *
   * @param queue the name of the queue that the job was submitted to
   * @param stepKey the key of the step
   * @param declaredMillis the declared run time, in milliseconds
   * @param typicalMillis the run time that it would have had on a typical worker, in milliseconds
   */
  public void observe(String queue, String stepKey, long declaredMillis, double typicalMillis) {
    if (declaredMillis <= 0 || typicalMillis <= 0) {
      return;
    }
    Deque<Ended> ended = queues.computeIfAbsent(queue, key -> new ArrayDeque<>());
    if (ended.stream().filter(each -> each.stepKey.equals(stepKey)).count() >= TASKS_PER_STEP) {
      return;
    }
    ended.addLast(new Ended(stepKey, Math.log(declaredMillis), Math.log(typicalMillis)));
    if (ended.size() > TASKS_PER_QUEUE) {
      ended.removeFirst();
    }
    typicalByQueue.remove(queue);
  }

  @Override
  public long expectedMillis(String queue, StepSpecification step) {
    Deque<Ended> ended = queues.get(queue);
    if (ended == null || ended.size() < MINIMUM_TASKS || step.estimateMillis() <= 0) {
      return step.estimateMillis();
    }
    Typical typical = typicalByQueue.computeIfAbsent(queue, key -> Typical.of(ended));
    return Math.round(Math.exp(typical.expectedLogMillis(Math.log(step.estimateMillis()))));
  }

  /** An ended task. */
  private record Ended(String stepKey, double declaredLogMillis, double logMillis) {
    double logError() {
      return logMillis - declaredLogMillis;
    }
  }

  /**
   * What is typical of the tasks of a queue.
   *
   * @param logMillis the logarithm of the run time
   * @param logError the logarithm of the run time as a multiple of the declared one
   * @param declaredShare how much the declared time counts, from 0 to 1
   */
  private record Typical(double logMillis, double logError, double declaredShare) {
    static Typical of(Collection<Ended> ended) {
      double ownVariance = variance(ended, Ended::logMillis);
      double declaredVariance = variance(ended, Ended::logError);
      return new Typical(
          median(ended, Ended::logMillis),
          median(ended, Ended::logError),
          ownVariance / (ownVariance + declaredVariance));
    }

    double expectedLogMillis(double declaredLogMillis) {
      double corrected = declaredLogMillis + logError;
      return declaredShare * corrected + (1 - declaredShare) * logMillis;
    }

    private static double median(Collection<Ended> ended, ToDoubleFunction<Ended> value) {
      return Medians.median(ended.stream().map(value::applyAsDouble).toList());
    }

    private static double variance(Collection<Ended> ended, ToDoubleFunction<Ended> value) {
      double spread = Medians.spread(ended.stream().map(value::applyAsDouble).toList());
      return Math.max(spread, MINIMUM_DEVIATION) * Math.max(spread, MINIMUM_DEVIATION);
    }
  }
}
