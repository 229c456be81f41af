package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.Resources;
import org.junit.jupiter.api.Test;

/** Replays a change of the leader while a failed gang is being stopped. */
class FailedGangTakeOverTest {
  private static final Resources WHOLE_WORKER = new Resources(32_000, 65_536, 8);

  private final DispatchFixture fixture = new DispatchFixture();

  @Test
  void should_count_a_failed_run_once_when_its_end_is_listed_to_two_leaders() {
    fixture.workers.add("w1");
    fixture.workers.add("w2");
    fixture.workers.add("w3");
    fixture.instance("first");
    fixture.instance("second");
    fixture.advance(2_500);
    fixture.workers.failRuns("w1");
    fixture.submit("a", 0, DispatchFixture.step(2, true, WHOLE_WORKER));
    fixture.advance(25);
    fixture.workers.disconnect("w2");
    fixture.advance(55);

    fixture.leader().disconnect();
    fixture.workers.reconnect("w2");
    fixture.advance(20_000);

    assertThat(fixture.leader().state("a")).isEqualTo(JobState.COMPLETED);
  }
}
