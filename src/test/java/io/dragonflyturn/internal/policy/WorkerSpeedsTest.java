package io.dragonflyturn.internal.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.dragonflyturn.internal.policy.WorkerSpeed.Grade;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the speeds of workers are learned from like tasks: a quarter of the workers takes
 * twice as long, the tasks of a step differ by a third, and 3 in 100 tasks last 7 times as long.
 */
class WorkerSpeedsTest {
  private static final int WORKERS = 40;
  private static final int SLOW_WORKERS = WORKERS / 4;
  private static final double TAIL_SHARE = 0.03;
  private static final double TAIL_FACTOR = 7;

  private final Random random = new Random(5);
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private long nowMillis = 1_000;
  private int tasks;

  @Test
  void should_know_nothing_of_a_worker_without_tasks() {
    assertThat(speedOf("w0")).isEqualTo(WorkerSpeed.UNKNOWN);
  }

  @Test
  void should_tell_the_workers_at_half_speed_after_two_tasks_on_each() {
    runSteps(4, worker -> worker < SLOW_WORKERS ? 0.5 : 1.0);

    assertThat(countGraded(Grade.SLOW, 0, SLOW_WORKERS)).isGreaterThanOrEqualTo(8);
    assertThat(countGraded(Grade.SLOW, SLOW_WORKERS, WORKERS)).isZero();
  }

  @Test
  void should_estimate_the_factor_of_a_worker_at_half_speed() {
    runSteps(20, worker -> worker < SLOW_WORKERS ? 0.5 : 1.0);

    assertThat(speedOf("w0").factor()).isCloseTo(0.5, within(0.12));
    assertThat(speedOf("w20").factor()).isCloseTo(1.0, within(0.2));
  }

  @Test
  void should_not_take_workers_for_slow_because_of_the_tasks_that_last_long() {
    runSteps(8, worker -> 1.0);

    assertThat(countGraded(Grade.SLOW, 0, WORKERS)).isZero();
    assertThat(countGraded(Grade.FAST, 0, WORKERS)).isZero();
  }

  /** The policy it replaces: the mean run time on the worker against that on the others. */
  @Test
  void should_not_do_what_means_do_with_the_tasks_that_last_long() {
    observe("w0", "a", 1_000);
    observe("w0", "b", TAIL_FACTOR * 1_000);
    for (int worker = 1; worker < 6; worker++) {
      observe("w" + worker, "a", 1_000);
      observe("w" + worker, "b", 1_000);
    }

    double meanMillis = (1_000 + TAIL_FACTOR * 1_000) / 2;
    WorkerSpeed byMeans = new WorkerSpeed(1_000 / meanMillis, 2, 0);
    assertThat(byMeans.grade()).isEqualTo(Grade.SLOW);
    assertThat(speedOf("w0").factor()).isCloseTo(1.0, within(0.01));
  }

  @Test
  void should_not_grade_a_worker_by_a_single_task() {
    observe("w0", "a", 3_000);
    for (int worker = 1; worker < 6; worker++) {
      observe("w" + worker, "a", 1_000);
    }

    assertThat(speedOf("w0").grade()).isEqualTo(Grade.TYPICAL);
  }

  @Test
  void should_not_compare_a_task_that_has_no_like() {
    observe("w0", "a", 3_000);
    observe("w0", "b", 9_000);

    assertThat(speedOf("w0")).isEqualTo(WorkerSpeed.UNKNOWN);
  }

  @Test
  void should_compare_steps_of_one_task_with_the_other_steps_of_their_queue() {
    for (int step = 0; step < 30; step++) {
      double millis = step % 10 == 0 ? 2_000 : 1_000;
      observe("w" + step % 10, "step" + step, millis * (1 + 0.1 * random.nextGaussian()));
    }

    assertThat(speedOf("w0").grade()).isEqualTo(Grade.SLOW);
    assertThat(speedOf("w1").grade()).isEqualTo(Grade.TYPICAL);
  }

  @Test
  void should_replace_what_was_observed_of_the_same_run_earlier() {
    for (int worker = 0; worker < 6; worker++) {
      speeds.observe(pace("t" + worker, "w" + worker, 1, "a", 4_000), nowMillis);
      speeds.observe(pace("t" + worker, "w" + worker, 1, "a", 1_000), nowMillis);
    }

    assertThat(speedOf("w0").samples()).isEqualTo(1);
  }

  @Test
  void should_not_let_one_step_fill_what_is_remembered_of_a_worker() {
    for (int task = 0; task < 10; task++) {
      observe("w0", "wide", 3_000);
    }
    for (int worker = 1; worker < 6; worker++) {
      observe("w" + worker, "wide", 1_000);
    }

    assertThat(speedOf("w0").samples()).isEqualTo(4);
  }

  @Test
  void should_start_from_nothing_when_a_worker_restarts_under_its_identifier() {
    runSteps(8, worker -> worker < SLOW_WORKERS ? 0.5 : 1.0);
    assertThat(speedOf("w0").grade()).isEqualTo(Grade.SLOW);

    assertThat(speeds.speedOf("w0", 2, nowMillis)).isEqualTo(WorkerSpeed.UNKNOWN);

    speeds.observe(pace("new", "w0", 2, "step0", 1_000), nowMillis);
    nowMillis += 1_000;
    assertThat(speeds.speedOf("w0", 2, nowMillis).samples()).isEqualTo(1);
  }

  // Regression: the first task after a restart was taken as proof of the former life's speed.
  @Test
  void should_not_give_the_speed_of_an_earlier_incarnation_before_the_next_estimate() {
    runSteps(8, worker -> worker < SLOW_WORKERS ? 0.5 : 1.0);
    assertThat(speedOf("w0").grade()).isEqualTo(Grade.SLOW);

    speeds.observe(pace("new", "w0", 2, "step0", 1_000), nowMillis);

    assertThat(speeds.speedOf("w0", 2, nowMillis)).isEqualTo(WorkerSpeed.UNKNOWN);
  }

  @Test
  void should_ignore_what_is_observed_late_of_an_earlier_incarnation() {
    speeds.observe(pace("new", "w0", 2, "a", 1_000), nowMillis);
    speeds.observe(pace("old", "w0", 1, "a", 9_000), nowMillis);

    observe("w1", "a", 1_000);
    observe("w2", "a", 1_000);
    assertThat(speeds.speedOf("w0", 2, nowMillis).factor()).isCloseTo(1.0, within(0.01));
  }

  @Test
  void should_forget_a_speed_that_nothing_has_confirmed_for_minutes() {
    runSteps(8, worker -> worker < SLOW_WORKERS ? 0.5 : 1.0);
    assertThat(speedOf("w0").grade()).isEqualTo(Grade.SLOW);

    nowMillis += 121_000;

    assertThat(speedOf("w0")).isEqualTo(WorkerSpeed.UNKNOWN);
  }

  /** Runs steps whose tasks are spread over half of the workers each. */
  private void runSteps(int steps, IntToDoubleFunction speedOfWorker) {
    for (int step = 0; step < steps; step++) {
      double stepMillis = 5_000 * Math.exp(0.3 * random.nextGaussian());
      for (int worker = step % 2; worker < WORKERS; worker += 2) {
        double millis = stepMillis * Math.exp(0.2 * random.nextGaussian());
        millis *= random.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1;
        observe("w" + worker, "step" + step, millis / speedOfWorker.applyAsDouble(worker));
      }
    }
  }

  private void observe(String worker, String step, double millis) {
    speeds.observe(pace("task" + tasks, worker, 1, step, millis), nowMillis);
    tasks++;
    nowMillis += 20;
  }

  private static TaskPace pace(
      String task, String worker, long incarnation, String step, double millis) {
    return new TaskPace(task, worker, incarnation, "queue", step, millis);
  }

  private WorkerSpeed speedOf(String worker) {
    nowMillis += 1_000;
    return speeds.speedOf(worker, 1, nowMillis);
  }

  /** Counts the workers of a grade among those with numbers in a range. */
  private long countGraded(Grade grade, int from, int to) {
    long count = 0;
    for (int worker = from; worker < to; worker++) {
      count += speedOf("w" + worker).grade() == grade ? 1 : 0;
    }
    return count;
  }
}
