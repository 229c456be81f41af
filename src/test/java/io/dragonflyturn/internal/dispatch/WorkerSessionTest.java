package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the leases of a worker whose clock runs at another rate than the leader's. */
class WorkerSessionTest {
  private static final long START_MILLIS = 10_000;
  private static final long LEASE_MILLIS = 6_000;
  private static final long MAXIMUM_LEASE_MILLIS = 10_000;
  private static final double SLOW_RATE = 0.98;

  private final WorkerSession session =
      new WorkerSession(
          registration(0),
          new FencingTokens(1),
          LateOrders.ofFirstLeader(),
          MAXIMUM_LEASE_MILLIS,
          START_MILLIS);

  /** A task started on a worker that had been idle for a minute outlived its lease by a second. */
  @Test
  void should_not_grant_a_lease_that_outlasts_its_expiry_on_a_slow_clock_that_was_read_long_ago() {
    long now = START_MILLIS + 60_000;

    long leaseEnd = session.grantLease(now + LEASE_MILLIS, now);

    long realEnd = START_MILLIS + (long) (leaseEnd / SLOW_RATE);
    assertThat(session.haveLeasesExpired(realEnd, LEASE_MILLIS)).isFalse();
  }

  @Test
  void should_grant_almost_the_whole_lease_on_a_clock_that_the_worker_has_just_reported() {
    long now = START_MILLIS + 60_000;
    session.update(registration(60_000), now);

    assertThat(session.grantLease(now + LEASE_MILLIS, now)).isEqualTo(60_000 + LEASE_MILLIS);
  }

  @Test
  void should_ignore_a_clock_reading_that_was_delayed() {
    long now = START_MILLIS + 60_000;
    session.life().recordClock(60_000, now);

    session.update(registration(20_000), now);

    assertThat(session.workerTimeMillis(now)).isEqualTo(60_000);
  }

  @Test
  void should_start_from_the_clock_of_a_new_incarnation() {
    long now = START_MILLIS + 60_000;

    session.beginLife(2, 300, now);

    assertThat(session.workerTimeMillis(now)).isEqualTo(300);
  }

  /**
   * What orders for the former life granted lasted longer than what was counted for the new one.
   */
  @Test
  void should_count_a_longest_lease_from_the_first_answer_of_a_new_life() {
    session.beginLife(2, 300, START_MILLIS);

    session.firstAnswered(START_MILLIS + 100);

    long longestEnd = START_MILLIS + 100 + (long) (MAXIMUM_LEASE_MILLIS / SLOW_RATE);
    assertThat(session.haveLeasesExpired(longestEnd, LEASE_MILLIS)).isFalse();
  }

  @Test
  void should_not_count_a_longest_lease_again_after_later_answers() {
    session.firstAnswered(START_MILLIS);

    session.firstAnswered(START_MILLIS + 60_000);

    assertThat(session.haveLeasesExpired(START_MILLIS + 60_000, LEASE_MILLIS)).isTrue();
  }

  /** A poll that reached the next life made it forget ends that nobody had read. */
  @Test
  void should_acknowledge_no_end_from_a_lost_order_until_the_next_list() {
    WorkerLife life = session.life();
    life.markListed(START_MILLIS);
    life.markEndRecorded(3);
    assertThat(life.endToAcknowledge()).isEqualTo(3);

    life.markInDoubt(START_MILLIS + 100);
    life.markListed(START_MILLIS + 50);
    assertThat(life.endToAcknowledge()).isZero();

    life.markListed(START_MILLIS + 101);
    assertThat(life.endToAcknowledge()).isEqualTo(3);
  }

  /** An answer that a later list had overtaken looked like one of another life. */
  @Test
  void should_not_take_a_clock_that_was_read_early_for_another_life() {
    long sentMillis = START_MILLIS + 1_000;
    long leastClockMillis = session.workerTimeMillis(sentMillis);
    session.life().recordClock(1_299, START_MILLIS + 1_300);

    assertThat(1_001L).isGreaterThanOrEqualTo(leastClockMillis);
  }

  @Test
  void should_be_cold_until_the_time_that_the_worker_named_has_passed() {
    session.update(registration(10_000, 2_000), START_MILLIS + 10_000);
    session.update(registration(11_000, 0), START_MILLIS + 11_000);

    assertThat(session.isCold(11_999)).isTrue();
    assertThat(session.isCold(12_000)).isFalse();
  }

  @Test
  void should_not_be_cold_without_a_word_of_the_worker() {
    session.update(registration(10_000, 0), START_MILLIS + 10_000);

    assertThat(session.isCold(9_999)).isFalse();
  }

  private static WorkerRegistration registration(long clockMillis) {
    return registration(clockMillis, 0);
  }

  private static WorkerRegistration registration(long clockMillis, long coldRemainingMillis) {
    return new WorkerRegistration(
        "w1",
        1,
        "service",
        "w1:1",
        "north",
        List.of("r1"),
        FakeWorkers.CAPACITY,
        false,
        0,
        coldRemainingMillis,
        clockMillis);
  }
}
