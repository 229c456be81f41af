package io.dragonflyturn.internal.gang;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MemberLeaseTest {
  private static final long MESSAGE_LIFETIME_MILLIS = 5_000;
  private static final long LEASE_MILLIS = 2_000;

  private final MemberLease lease = new MemberLease(MESSAGE_LIFETIME_MILLIS);

  @Test
  void should_be_expired_if_no_lease_was_sent() {
    assertThat(lease.definitelyExpired(0)).isTrue();
  }

  @Test
  void should_expire_one_lease_duration_after_the_answer() {
    lease.recordSent(LEASE_MILLIS, 0);
    lease.recordAnswer(10);

    assertThat(lease.definitelyExpired(2_010)).isFalse();
    assertThat(lease.definitelyExpired(2_011)).isTrue();
  }

  @Test
  void should_add_an_unanswered_extension_to_the_previous_expiry() {
    lease.recordSent(LEASE_MILLIS, 0);
    lease.recordAnswer(10);
    lease.recordSent(LEASE_MILLIS, 1_000);

    assertThat(lease.definitelyExpired(4_010)).isFalse();
    assertThat(lease.definitelyExpired(4_011)).isTrue();
  }

  @Test
  void should_restore_the_previous_expiry_if_a_message_was_not_sent() {
    lease.recordSent(LEASE_MILLIS, 0);
    lease.recordNotSent();

    assertThat(lease.definitelyExpired(0)).isTrue();
  }
}
