package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays starts to a worker that does not answer, one test for each row of the table in design
 * note 0012: when the task may be started elsewhere depends on what the registration tells.
 */
class LostStartTest {
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long LEASES_ENDED_MILLIS = 10_000;

  /** The latest arrival of a start that was given up, and a part of the lease that it may have. */
  private static final long LATE_LEASES_LAST_MILLIS = 17_000;

  /** The time for which orders grant leases, the latest arrival of the last, and its lease. */
  private static final long LATE_ORDERS_ENDED_MILLIS = 4_000 + 12_000 + 7_000;

  private static final long LONG_WORK_MILLIS = 60_000;
  private static final String TASK = "a.0.0.0";

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startInstanceWithTwoIdleWorkers() {
    fixture.workers.add("w1");
    fixture.workers.add("w2");
    fixture.workers.setWorkMillis(LONG_WORK_MILLIS);
    fixture.instance("only");
    fixture.advance(5_000);
  }

  @AfterEach
  void checkThatNothingRanTwice() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** A job that was placed on a crashed worker waited for 20 s beside idle ones. */
  @Test
  void should_start_a_task_elsewhere_once_its_worker_has_left_and_the_leases_have_ended() {
    fixture.workers.crash("w1", false);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(3 * HEARTBEAT_MILLIS);
    fixture.unregister("w1");
    fixture.advance(LEASES_ENDED_MILLIS - 3 * HEARTBEAT_MILLIS);

    assertThat(fixture.workers.workerOf(TASK)).isEqualTo("w2");
  }

  @Test
  void should_start_a_task_elsewhere_once_the_leases_of_a_worker_have_ended_that_is_cut_off() {
    fixture.workers.disconnect("w1");
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    for (long waited = 0; waited < LEASES_ENDED_MILLIS; waited += HEARTBEAT_MILLIS) {
      fixture.advance(HEARTBEAT_MILLIS);
      fixture.reportWorker("w1");
    }

    assertThat(fixture.workers.workerOf(TASK)).isEqualTo("w2");
  }

  @Test
  void should_wait_for_late_starts_while_a_registration_is_neither_renewed_nor_removed() {
    fixture.workers.crash("w1", false);
    fixture.registry.withhold("w1");
    fixture.submit("a", 1, DispatchFixture.tasks(1));

    expectStartOnlyAfterLateOrders();
  }

  @Test
  void should_wait_for_late_starts_while_it_is_not_known_which_workers_are_back() {
    fixture.workers.crash("w1", false);
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(3 * HEARTBEAT_MILLIS);
    fixture.unregister("w1");
    fixture.registrationsAge = Duration.ofSeconds(5);

    expectStartOnlyAfterLateOrders();
  }

  @Test
  void should_wait_for_late_starts_while_the_next_life_has_not_answered() {
    fixture.workers.disconnect("w1");
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(1_000);
    fixture.workers.restart("w1");
    fixture.reportWorker("w1");

    expectStartOnlyAfterLateOrders();
  }

  /** All that was placed on a crashed worker, until its next poll had failed, waited as long. */
  @Test
  void should_start_no_task_on_a_worker_that_left_a_start_unanswered_until_it_answers() {
    fixture.workers.disconnect("w1");
    fixture.submit("a", 1, DispatchFixture.tasks(1));
    fixture.advance(600);
    fixture.submit("b", 1, DispatchFixture.tasks(1));
    fixture.advance(100);
    assertThat(fixture.workers.workerOf("b.0.0.0")).isEqualTo("w2");

    fixture.workers.reconnect("w1");
    fixture.advance(2_000);
    assertThat(fixture.workers.workerOf(TASK)).isEqualTo("w1");
  }

  private void expectStartOnlyAfterLateOrders() {
    fixture.advance(LEASES_ENDED_MILLIS);
    assertThat(fixture.workers.runningTasks()).isEmpty();
    fixture.advance(LATE_LEASES_LAST_MILLIS - LEASES_ENDED_MILLIS);
    assertThat(fixture.workers.runningTasks()).as("the last late start has a lease").isEmpty();
    fixture.advance(LATE_ORDERS_ENDED_MILLIS - LATE_LEASES_LAST_MILLIS);
    assertThat(fixture.workers.workerOf(TASK)).isEqualTo("w2");
  }
}
