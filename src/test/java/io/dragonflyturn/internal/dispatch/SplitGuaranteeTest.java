package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a fleet on which nothing is whole any more, and a job within a guarantee that needs a
 * whole worker. All guarantees together are a quarter of the fleet.
 */
class SplitGuaranteeTest {
  private static final int WORKERS = 8;
  private static final long RECLAIM_MILLIS = 2_700;
  private static final long LEASES_ENDED_MILLIS = 10_000;
  private static final long LONG_WORK_MILLIS = 60_000;
  private static final Resources PIECE = new Resources(1_000, 1_000, 1);
  private static final Resources REST = new Resources(4_000, 4_000, 7);

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startInstanceWithIdleWorkers() {
    for (int worker = 1; worker <= WORKERS; worker++) {
      fixture.workers.add("w" + worker);
    }
    fixture.workers.setWorkMillis(LONG_WORK_MILLIS);
    fixture.terms.put("small", DispatchFixture.guaranteed(WORKERS));
    fixture.terms.put("large", DispatchFixture.guaranteed(WORKERS));
    fixture.instance("only");
    fixture.advance(5_000);
  }

  /** Small urgent tasks lay one on each worker, beside work that leaves room for just these. */
  @Test
  void should_reclaim_a_guarantee_from_small_tasks_within_another_one() {
    fixture.submitFor("other", "burst", 2, DispatchFixture.step(WORKERS, false, REST));
    fixture.advance(1_000);
    fixture.submitFor("small", "pieces", 0, DispatchFixture.step(WORKERS, false, PIECE));
    fixture.advance(3_000);

    submitLargeJob();

    fixture.advance(RECLAIM_MILLIS);
    assertThat(fixture.workers.runningTasks()).contains("whole.0.0.0");
    for (int task = 0; task < WORKERS; task++) {
      assertThat(fixture.workers.runningTasks()).contains("pieces.0.0." + task);
    }
  }

  /** Tasks that last held all workers, and are not preempted for other work. */
  @Test
  void should_reclaim_a_guarantee_from_tasks_that_last() {
    StepSpecification lasting =
        new StepSpecification(
            WORKERS,
            FakeWorkers.CAPACITY,
            1_000,
            List.of(),
            false,
            false,
            false,
            "",
            "",
            0,
            false,
            true);
    fixture.submitFor("other", "lasts", 2, lasting);
    fixture.advance(2_000);

    submitLargeJob();

    fixture.advance(RECLAIM_MILLIS);
    assertThat(fixture.workers.runningTasks()).contains("whole.0.0.0");
  }

  /** A crash took the room that had been left whole. */
  @Test
  void should_reclaim_a_guarantee_after_a_crash_of_the_last_whole_worker() {
    fixture.submitFor("other", "burst", 2, DispatchFixture.step(WORKERS - 1, false, REST));
    fixture.advance(1_000);
    fixture.submitFor("small", "pieces", 0, DispatchFixture.step(WORKERS - 1, false, PIECE));
    fixture.advance(1_000);
    submitLargeJob();
    fixture.advance(1_000);
    String crashed = fixture.workers.workerOf("whole.0.0.0");
    fixture.workers.crash(crashed, false);
    fixture.unregister(crashed);
    fixture.advance(LEASES_ENDED_MILLIS + RECLAIM_MILLIS);

    assertThat(fixture.workers.runningTasks()).contains("whole.0.0.0");
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void submitLargeJob() {
    fixture.submitFor("large", "whole", 0, DispatchFixture.step(1, false, FakeWorkers.CAPACITY));
  }
}
