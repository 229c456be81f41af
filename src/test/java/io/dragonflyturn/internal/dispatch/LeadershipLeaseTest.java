package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

/** Tests how long a leader without news from the store grants leases. */
class LeadershipLeaseTest {
  private static final long NOW_MILLIS = 100_000;
  private static final long LEASE_MILLIS = 6_000;

  private final DispatchFixture.RulesStatus jobsTopic = new DispatchFixture.RulesStatus();
  private final InstantSource clock = () -> Instant.ofEpochMilli(NOW_MILLIS);
  private final LeadershipLease lease = new LeadershipLease(jobsTopic, clock, LEASE_MILLIS, 0);

  @Test
  void should_grant_full_leases_while_the_jobs_topic_is_read() {
    jobsTopic.age = Duration.ofSeconds(1);

    assertThat(lease.workerLeaseEndMillis()).isEqualTo(NOW_MILLIS + LEASE_MILLIS);
    assertThat(lease.shortensWorkerLeases()).isFalse();
  }

  @Test
  void should_grant_no_lease_that_a_successor_elected_now_does_not_expect() {
    for (long age = 0; age <= 20_000; age += 500) {
      jobsTopic.age = Duration.ofMillis(age);

      assertThat(lease.workerLeaseEndMillis())
          .isLessThanOrEqualTo(LeadershipLease.endOfEarlierLeasesMillis(NOW_MILLIS - age));
    }
  }

  /** The first read of a process that leads at once may be answered after its proposal. */
  @Test
  void should_grant_leases_from_its_proposal_on_before_the_topic_is_read() {
    jobsTopic.age = Duration.ofDays(1);
    LeadershipLease elected = new LeadershipLease(jobsTopic, clock, LEASE_MILLIS, NOW_MILLIS - 100);

    assertThat(elected.hasExpired()).isFalse();
    assertThat(elected.workerLeaseEndMillis()).isEqualTo(NOW_MILLIS + LEASE_MILLIS);
  }

  @Test
  void should_expire_when_a_lease_would_end_at_once() {
    jobsTopic.age = Duration.ofSeconds(20);

    assertThat(lease.hasExpired()).isTrue();
    assertThat(lease.workerLeaseEndMillis()).isLessThan(NOW_MILLIS);
  }
}
