package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a burst of placements at a leader that needs 20 ms for each order. Sent all at once, most
 * orders would time out inside the leader.
 */
class SlowLeaderTest {
  private static final int WORKERS = 40;
  private static final int TASKS = 200;
  private static final long SEND_MILLIS = 20;
  private static final long WORK_MILLIS = 3_000;

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startOneInstance() {
    for (int number = 0; number < WORKERS; number++) {
      fixture.workers.add("w" + number);
    }
    fixture.workers.setWorkMillis(WORK_MILLIS);
    fixture.workers.setSendMillis(SEND_MILLIS);
    fixture.instance("only");
    fixture.advance(2_500);
  }

  @Test
  void should_start_each_task_with_one_order_when_it_needs_long_for_each_order() {
    fixture.submit("burst", 2, DispatchFixture.tasks(TASKS));

    fixture.advance(2 * TASKS * SEND_MILLIS + WORK_MILLIS);

    assertThat(fixture.leader().state("burst")).isEqualTo(JobState.COMPLETED);
    assertThat(fixture.workers.unansweredOrders()).isZero();
  }

  @Test
  void should_start_other_tasks_while_a_quarter_of_the_workers_do_not_answer() {
    fixture.workers.setSendMillis(0);
    for (int number = 0; number < WORKERS; number += 4) {
      fixture.workers.disconnect("w" + number);
    }

    fixture.submit("wide", 2, DispatchFixture.tasks(TASKS));
    fixture.advance(1_000);

    assertThat(fixture.workers.runningTasks()).hasSizeGreaterThanOrEqualTo(TASKS * 3 / 4);
  }
}
