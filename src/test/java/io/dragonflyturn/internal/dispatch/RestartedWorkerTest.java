package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays workers that start again under their identifiers, and orders for their former lives that
 * the new ones carry out.
 */
class RestartedWorkerTest {
  private static final long MAXIMUM_LEASE_MILLIS = 10_000;
  private static final long UPTIME_MILLIS = 60_000;
  private static final long LONG_WORK_MILLIS = 40_000;
  private static final long LONGEST_WAIT_MILLIS = 30_000;
  private static final long LATE_MILLIS = 11_900;
  private static final long START_INTERVAL_MILLIS = 800;
  private static final int START_ATTEMPTS = 3;
  private static final long PLACED_AGAIN_MILLIS = 6_000;

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startInstanceWithOneWorkerThatHasRunForLong() {
    fixture.setMaximumLeaseMillis(MAXIMUM_LEASE_MILLIS);
    fixture.workers.add("w1");
    fixture.workers.setWorkMillis(LONG_WORK_MILLIS);
    fixture.instance("only");
    fixture.advance(UPTIME_MILLIS);
  }

  /** The new life held the task for longer than the lease that the leader counted. */
  @Test
  void should_not_run_a_task_twice_when_its_worker_is_cut_off_after_an_unnoticed_restart() {
    fixture.workers.restart("w1");
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(50);
    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");

    fixture.workers.disconnect("w1");
    addIdleWorker();
    fixture.advance(LONGEST_WAIT_MILLIS);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.workerOf("a.0.0.0")).isEqualTo("w2");
  }

  /** No answer told the leader that the order had reached another life. */
  @Test
  void should_not_run_a_task_twice_when_the_answer_to_its_start_is_lost_after_a_restart() {
    fixture.workers.restart("w1");
    fixture.workers.loseStartAnswers(1);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(30);
    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");

    fixture.workers.disconnect("w1");
    addIdleWorker();
    fixture.advance(LONGEST_WAIT_MILLIS);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.workerOf("a.0.0.0")).isEqualTo("w2");
  }

  /** The first of two start orders reached a later life than the one that had taken the second. */
  @Test
  void should_not_run_a_task_twice_when_its_first_start_arrives_late_behind_a_cut() {
    fixture.workers.holdBackStart("w1", 6_000);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(4_500);

    fixture.workers.restart("w1");
    fixture.workers.disconnect("w1");
    addIdleWorker();
    fixture.advance(LONGEST_WAIT_MILLIS);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.workerOf("a.0.0.0")).isEqualTo("w2");
  }

  /** The new life knew neither the fencing token nor that the run had been given up. */
  @Test
  void should_not_run_a_task_twice_when_its_delayed_start_reaches_the_next_life() {
    fixture.workers.holdBackStart("w1", 6_000);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(1_000);
    addIdleWorker();
    fixture.workers.restart("w1");
    fixture.drain("w1", 60_000);

    fixture.advance(10_000);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.workerOf("a.0.0.0")).isEqualTo("w2");
  }

  /** A poll for the former life acknowledged an end of the new one that nobody had read. */
  @Test
  void should_not_run_a_done_task_again_whose_end_a_poll_for_the_former_life_acknowledges() {
    fixture.workers.setWorkMillis(1_000);
    fixture.submit("a", 1, DispatchFixture.tasks(3));
    fixture.advance(3_000);

    fixture.workers.restart("w1");
    fixture.workers.setWorkMillis(1);
    fixture.submit("b", 1, DispatchFixture.tasks(1));
    fixture.advance(5_000);

    assertThat(fixture.workers.violations()).isEmpty();
    assertThat(fixture.workers.starts("b.0.0.0")).isEqualTo(1);
  }

  /** Runs that the former life took with it start again, and at once. */
  @Test
  void should_start_the_tasks_of_a_worker_again_that_has_restarted() {
    fixture.submit("a", 1, DispatchFixture.tasks(2));
    fixture.advance(1_000);

    fixture.workers.restart("w1");
    fixture.reportWorker("w1");
    fixture.advance(500);

    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(2);
    assertThat(fixture.workers.starts("a.0.0.1")).isEqualTo(2);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** A worker that had started again made the leader believe that another one led. */
  @Test
  void should_keep_leading_when_a_new_life_refuses_an_order_for_its_former_one() {
    fixture.workers.slowDown("w1", 300);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(100);

    fixture.workers.restart("w1");
    fixture.reportWorker("w1");
    fixture.advance(300);

    assertThat(fixture.leader().dispatcher.isLeading()).isTrue();
    fixture.advance(1_000);
    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");
    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(1);
  }

  @Test
  void should_not_start_work_on_a_restarted_worker_before_it_has_answered() {
    fixture.workers.restart("w1");
    fixture.workers.disconnect("w1");
    fixture.reportWorker("w1");

    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(3_000);
    assertThat(fixture.leader().dispatchMetrics.startsOrdered().getCount()).isZero();

    fixture.workers.reconnect("w1");
    fixture.advance(2_000);
    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");
  }

  /** A boot with fewer accelerators took a start that was planned for the life before. */
  @Test
  void should_not_repeat_a_start_to_a_life_that_it_was_not_planned_for() {
    addIdleWorker();
    StepSpecification wholeWorker = DispatchFixture.step(1, false, FakeWorkers.CAPACITY);
    fixture.submit("first", 1, wholeWorker);
    fixture.advance(100);
    String silent = fixture.workers.workerOf("first.0.0.0").equals("w1") ? "w2" : "w1";
    fixture.workers.disconnect(silent);
    fixture.submit("second", 1, wholeWorker);
    fixture.advance(600);

    fixture.workers.setCapacity(silent, new Resources(8_000, 16_000, 2));
    fixture.workers.restart(silent);
    fixture.workers.reconnect(silent);
    fixture.reportWorker(silent);
    fixture.advance(LONGEST_WAIT_MILLIS);

    assertThat(fixture.workers.tasksStarted(silent)).isZero();
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** A worker that had left the list was not polled when it was back, and took late starts. */
  @Test
  void should_not_run_a_task_twice_when_its_worker_leaves_and_is_back_before_a_late_start() {
    loseStartsOfTaskOnFirstWorker();
    leaveList("w1");

    returnToList("w1");
    fixture.advance(LONGEST_WAIT_MILLIS);

    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(1);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** The next leader knew nothing of the orders that its predecessor had lost. */
  @Test
  void should_not_run_a_task_twice_when_its_worker_is_back_under_the_next_leader() {
    fixture.instance("next");
    loseStartsOfTaskOnFirstWorker();
    fixture.leader().disconnect();
    leaveList("w1");

    returnToList("w1");
    fixture.advance(LONGEST_WAIT_MILLIS);

    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(1);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** Has all starts of a task carried out late, and the task placed on another worker. */
  private void loseStartsOfTaskOnFirstWorker() {
    addIdleWorker();
    fixture.advance(100);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      fixture.orders.holdBack(DisturbedGateway.Kind.START, "w1", LATE_MILLIS);
      fixture.advance(START_INTERVAL_MILLIS);
    }
    long deadlineMillis = fixture.loop.millis() + PLACED_AGAIN_MILLIS;
    while (fixture.loop.millis() < deadlineMillis && !isOnSecondWorker()) {
      fixture.advance(10);
    }
    assertThat(fixture.workers.workerOf("a.0.0.0")).isEqualTo("w2");
  }

  private boolean isOnSecondWorker() {
    return fixture.workers.workerOf("a.0.0.0").equals("w2");
  }

  private void leaveList(String worker) {
    fixture.workers.crash(worker, false);
    fixture.advance(3_500);
    fixture.unregister(worker);
    fixture.advance(100);
  }

  private void returnToList(String worker) {
    fixture.workers.restart(worker);
    fixture.reportWorker(worker);
  }

  private void addIdleWorker() {
    fixture.workers.add("w2");
    fixture.reportWorker("w2");
  }
}
