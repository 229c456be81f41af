package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays gangs with more members than the leader can start before the first of them stop waiting
 * for the others. Each order takes 10 ms, so 300 of them can be sent in the 3 s that members wait.
 */
class WideGangTest {
  private static final int TOO_WIDE = 600;
  private static final int WIDE = 200;
  private static final Resources TINY_TASK = new Resources(10, 16, 0);

  private static final Resources SMALL_TASK = new Resources(80, 160, 0);

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startInstances() {
    for (int worker = 1; worker <= 6; worker++) {
      fixture.workers.add("w" + worker);
    }
    fixture.instance("first");
    fixture.instance("second");
    fixture.workers.setSendMillis(10);
    fixture.workers.setWorkMillis(6_000);
    fixture.advance(2_500);
  }

  /** The gang was started again and again, and each time its first members ended alone. */
  @Test
  void should_fail_a_gang_that_is_too_wide_to_be_started_in_time() {
    submitGang("wide", TOO_WIDE);

    fixture.advance(25_000);

    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.FAILED);
    assertThat(fixture.workers.runsAlone()).isZero();
    assertThat(fixture.workers.runningTasks()).isEmpty();
  }

  @Test
  void should_run_other_jobs_beside_a_gang_that_is_too_wide_to_be_started_in_time() {
    submitGang("wide", TOO_WIDE);
    fixture.advance(500);

    for (int job = 0; job < 8; job++) {
      fixture.submit("small" + job, 1, DispatchFixture.tasks(4));
      fixture.advance(400);
    }
    fixture.advance(9_000);

    for (int job = 0; job < 8; job++) {
      assertThat(fixture.leader().state("small" + job)).isEqualTo(JobState.COMPLETED);
    }
  }

  @Test
  void should_run_a_wide_gang_that_can_be_started_in_time() {
    submitGang("wide", WIDE);

    fixture.advance(10_000);

    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.COMPLETED);
  }

  /** Orders of other jobs say nothing about whether the gang can be started without them. */
  @Test
  void should_not_fail_a_gang_whose_start_is_delayed_by_the_orders_of_other_jobs() {
    submitGang("wide", WIDE);
    for (int job = 0; job < 4; job++) {
      fixture.submit("other" + job, 1, DispatchFixture.step(500, false, SMALL_TASK));
    }

    fixture.advance(60_000);

    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.COMPLETED);
    assertThat(fixture.workers.runsAlone()).isZero();
  }

  /** On a worker that answers slowly, few members can be started in time; elsewhere all can. */
  @Test
  void should_not_fail_a_gang_that_is_started_late_because_a_worker_answers_slowly() {
    fixture.workers.setSendMillis(1);
    fixture.workers.slowDown("w1", 150);
    submitGang("wide", WIDE);
    fixture.advance(20_000);
    final JobState stateWhileSlow = fixture.leader().state("wide");

    fixture.workers.slowDown("w1", 0);
    fixture.advance(45_000);

    assertThat(stateWhileSlow).isNotEqualTo(JobState.FAILED);
    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.COMPLETED);
  }

  private void submitGang(String job, int members) {
    fixture.workers.setGang(job + ".0.0", members);
    fixture.submit(job, 1, DispatchFixture.step(members, true, TINY_TASK));
  }
}
