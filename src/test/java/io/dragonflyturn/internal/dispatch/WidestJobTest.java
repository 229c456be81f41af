package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays the widest job that is accepted, and measures how long it keeps the event loop busy. */
class WidestJobTest {
  private static final int TASKS = 20_000;

  /** The leader is replaced if it writes nothing for this long. */
  private static final Duration LEADER_TIMEOUT = Duration.ofMillis(1_500);

  private static final Resources TINY_TASK = new Resources(10, 16, 0);

  private final DispatchFixture fixture = new DispatchFixture();

  /** All tasks were counted anew for each waiting task and worker, which took minutes. */
  @Test
  void should_plan_a_step_with_a_limit_per_worker_while_the_leader_is_not_replaced() {
    startWithWorkers(32);
    fixture.submit("wide", 1, limitedPerWorker(TASKS, 1));
    fixture.advance(50);

    assertThat(realTimeOf(100)).isLessThan(LEADER_TIMEOUT);
  }

  @Test
  void should_place_all_tasks_of_the_widest_job_while_the_leader_is_not_replaced() {
    startWithWorkers(246);
    fixture.submit("wide", 1, DispatchFixture.step(TASKS, false, TINY_TASK));

    assertThat(realTimeOf(50)).isLessThan(LEADER_TIMEOUT);
  }

  private void startWithWorkers(int workers) {
    for (int worker = 0; worker < workers; worker++) {
      fixture.workers.add("worker-" + worker);
    }
    fixture.instance("first");
    fixture.workers.setSendMillis(10);
    fixture.workers.setWorkMillis(60_000);
    fixture.advance(2_500);
  }

  /** Returns the real time that it takes to advance the clock of the test. */
  private Duration realTimeOf(long millis) {
    long startNanos = System.nanoTime();
    fixture.advance(millis);
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  private static StepSpecification limitedPerWorker(int tasks, int maximumPerWorker) {
    return new StepSpecification(
        tasks,
        TINY_TASK,
        3_000,
        List.of(),
        false,
        false,
        false,
        "",
        "",
        maximumPerWorker,
        false,
        false);
  }
}
