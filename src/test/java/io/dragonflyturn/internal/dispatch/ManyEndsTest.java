package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays workers on which more runs have ended than they list at a time. */
class ManyEndsTest {
  private static final int JOBS = 7;
  private static final int TASKS_OF_JOB = 86;
  private static final int LONG_TASKS = 700;
  private static final long WORK_MILLIS = 4_000;

  private static final Resources SMALL_TASK = new Resources(20, 32, 0);

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startInstancesWithOneWorker() {
    fixture.workers.add("w1");
    fixture.instance("first");
    fixture.instance("second");
    fixture.workers.setWorkMillis(WORK_MILLIS);
    fixture.advance(2_500);
  }

  /** The ends beyond the first 500 were taken for lost runs, and their tasks were started again. */
  @Test
  void should_not_start_tasks_again_whose_ends_are_not_on_the_list_yet() {
    startTasks();

    disconnectUntilTheTasksHaveEnded();
    fixture.workers.reconnect("w1");
    fixture.advance(8_000);

    assertThat(tasksStartedAgain()).isEmpty();
    assertAllCompleted();
  }

  /** A new leader that adopted the runs concluded the same from its first list. */
  @Test
  void should_not_start_tasks_again_that_ended_before_a_new_leader_polls_their_worker() {
    startTasks();

    fixture.leader().disconnect();
    fixture.advance(12_000);

    assertThat(tasksStartedAgain()).isEmpty();
    assertAllCompleted();
  }

  @Test
  void should_keep_the_runs_of_a_worker_with_many_ends() {
    fixture.workers.setWorkMillis(60_000);
    fixture.submit("long", 1, DispatchFixture.step(LONG_TASKS, false, SMALL_TASK));
    fixture.advance(2_000);
    fixture.workers.setWorkMillis(WORK_MILLIS);
    startTasks();
    disconnectUntilTheTasksHaveEnded();

    fixture.workers.reconnect("w1");
    fixture.advance(8_000);

    assertThat(tasksStartedAgain()).isEmpty();
    assertAllCompleted();
    for (int task = 0; task < LONG_TASKS; task++) {
      assertThat(fixture.workers.starts("long.0.0." + task)).isEqualTo(1);
    }
  }

  @Test
  void should_read_the_ends_that_did_not_fit_into_a_list_without_a_pause() {
    startTasks();
    disconnectUntilTheTasksHaveEnded();

    fixture.workers.reconnect("w1");
    fixture.advance(2_900);

    assertAllCompleted();
  }

  @Test
  void should_start_a_lost_task_again_once_all_ends_have_been_listed() {
    startTasks();
    fixture.workers.disconnect("w1");
    fixture.workers.forgetRun("job3.0.0.5");
    fixture.advance(1_500);

    fixture.workers.reconnect("w1");
    fixture.advance(8_000);

    assertThat(tasksStartedAgain()).containsExactly("job3.0.0.5");
    assertAllCompleted();
  }

  /** Starts all tasks, and waits until shortly before the first of them ends. */
  private void startTasks() {
    for (int job = 0; job < JOBS; job++) {
      fixture.submit("job" + job, 1, DispatchFixture.step(TASKS_OF_JOB, false, SMALL_TASK));
    }
    fixture.advance(WORK_MILLIS - 100);
    assertThat(fixture.workers.runningTasks())
        .filteredOn(task -> task.startsWith("job"))
        .hasSize(JOBS * TASKS_OF_JOB);
  }

  private void disconnectUntilTheTasksHaveEnded() {
    fixture.workers.disconnect("w1");
    fixture.advance(1_500);
  }

  private List<String> tasksStartedAgain() {
    List<String> startedAgain = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      for (int task = 0; task < TASKS_OF_JOB; task++) {
        String name = "job" + job + ".0.0." + task;
        if (fixture.workers.starts(name) > 1) {
          startedAgain.add(name);
        }
      }
    }
    return startedAgain;
  }

  private void assertAllCompleted() {
    for (int job = 0; job < JOBS; job++) {
      assertThat(fixture.leader().state("job" + job)).isEqualTo(JobState.COMPLETED);
    }
  }
}
