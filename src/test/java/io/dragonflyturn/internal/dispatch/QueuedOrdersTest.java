package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.Resources;
import org.junit.jupiter.api.Test;

/** Replays a worker for which many start orders wait to be sent. */
class QueuedOrdersTest {
  /** How soon after its cancellation a job may have no task running any more. */
  private static final long CANCELLATION_MILLIS = 3_000;

  private static final Resources TINY_TASK = new Resources(10, 16, 0);

  private final DispatchFixture fixture = new DispatchFixture();

  /** The stops waited behind all starts, and the tasks of the cancelled job ran on meanwhile. */
  @Test
  void should_stop_a_cancelled_job_while_many_starts_wait_for_its_worker() {
    fixture.workers.add("w1");
    fixture.instance("first");
    fixture.advance(2_500);
    fixture.workers.setWorkMillis(60_000);
    fixture.submit("cancelled", 1, DispatchFixture.step(4, false, TINY_TASK));
    fixture.advance(500);
    fixture.workers.setSendMillis(10);
    fixture.submit("large", 1, DispatchFixture.step(600, false, TINY_TASK));
    fixture.advance(500);

    fixture.cancel("cancelled");
    fixture.advance(CANCELLATION_MILLIS);

    assertThat(fixture.workers.runningTasks()).noneMatch(task -> task.startsWith("cancelled"));
    assertThat(fixture.workers.runningTasks()).anyMatch(task -> task.startsWith("large"));
  }
}
