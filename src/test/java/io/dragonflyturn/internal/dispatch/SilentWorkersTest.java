package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that workers which did not answer for a while, and kept their entries, are used again. */
class SilentWorkersTest {
  private static final long LEASES_ENDED_MILLIS = 12_000;

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startOneInstanceWithOneWorker() {
    fixture.workers.add("w1");
    fixture.instance("only");
    fixture.advance(2_500);
  }

  /** A worker whose runs were taken for lost in a partition never got work again. */
  @Test
  void should_use_a_worker_again_that_answers_after_its_runs_were_given_up() {
    fixture.workers.setWorkMillis(8_000);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(500);
    fixture.workers.disconnect("w1");
    fixture.advance(LEASES_ENDED_MILLIS);

    fixture.workers.reconnect("w1");
    fixture.advance(3_000);

    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Test
  void should_not_use_a_silent_worker_before_it_answers() {
    fixture.workers.setWorkMillis(8_000);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(500);
    fixture.workers.disconnect("w1");
    fixture.advance(LEASES_ENDED_MILLIS);
    fixture.submit("b", 1, DispatchFixture.tasks(1));

    fixture.advance(30_000);

    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(1);
    assertThat(fixture.workers.starts("b.0.0.0")).isZero();
  }

  /** A worker that started again while only ends were to be acknowledged never got work again. */
  @Test
  void should_use_a_worker_that_starts_again_while_its_ends_are_not_acknowledged() {
    fixture.workers.setWorkMillis(1_000);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(1_100);
    fixture.workers.disconnect("w1");
    fixture.advance(1_700);
    fixture.workers.restart("w1");
    fixture.reportWorkers();
    fixture.workers.reconnect("w1");

    fixture.submit("b", 1, DispatchFixture.tasks(1));
    fixture.advance(4_000);

    assertThat(fixture.workers.starts("b.0.0.0")).isEqualTo(1);
  }
}
