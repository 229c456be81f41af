package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.dispatch.DispatchFixture.Instance;
import org.junit.jupiter.api.Test;

/** Verifies which instance becomes the leader if instances differ in capacity. */
class CandidacyTest {
  private static final int SMALL_INSTANCES = 12;

  private final DispatchFixture fixture = new DispatchFixture();

  @Test
  void should_elect_a_large_instance_among_many_small_ones() {
    startSmallInstances();
    Instance large = fixture.instance("large", DispatchFixture.LARGE);

    fixture.advance(3_000);

    assertThat(large.dispatcher.isLeading()).isTrue();
  }

  @Test
  void should_replace_a_large_leader_by_the_other_large_instance() {
    startSmallInstances();
    final Instance one = fixture.instance("one", DispatchFixture.LARGE);
    final Instance other = fixture.instance("other", DispatchFixture.LARGE);
    fixture.advance(3_000);

    Instance leader = fixture.leader();
    leader.disconnect();
    fixture.advance(3_000);

    assertThat(fixture.leader()).isSameAs(leader == one ? other : one);
  }

  @Test
  void should_elect_a_small_instance_within_three_seconds_when_no_large_instance_is_left() {
    startSmallInstances();
    Instance large = fixture.instance("large", DispatchFixture.LARGE);
    fixture.advance(3_000);

    large.disconnect();
    fixture.advance(3_000);

    assertThat(fixture.leader()).isNotSameAs(large);
  }

  @Test
  void should_lead_again_at_once_after_a_restart_of_the_leader() {
    fixture.instance("one", DispatchFixture.LARGE);
    fixture.instance("other", DispatchFixture.LARGE);
    fixture.advance(3_000);
    Instance leader = fixture.leader();
    leader.disconnect();

    Instance restarted = fixture.instance(leader.name, DispatchFixture.LARGE);
    fixture.advance(400);

    assertThat(fixture.leader()).isSameAs(restarted);
  }

  @Test
  void should_not_replace_a_later_leader_after_a_restart_of_an_earlier_one() {
    fixture.instance("one", DispatchFixture.LARGE);
    fixture.instance("other", DispatchFixture.LARGE);
    fixture.advance(3_000);
    final Instance earlier = fixture.leader();
    earlier.disconnect();
    fixture.advance(3_000);
    final Instance later = fixture.leader();

    fixture.instance(earlier.name, DispatchFixture.LARGE);
    fixture.advance(3_000);

    assertThat(fixture.leader()).isSameAs(later);
  }

  @Test
  void should_pass_the_leadership_on_soon_while_a_slow_store_takes_many_submissions() {
    for (int number = 0; number < 6; number++) {
      fixture.instance("large-" + number, DispatchFixture.LARGE);
    }
    fixture.advance(3_000);
    fixture.store.setAnswerDelayMillis(180);
    Instance leader = fixture.leader();
    leader.dispatcher.resign(leader::disconnect);

    for (int submission = 0; submission < 14; submission++) {
      fixture.submit("job-" + submission, 1, DispatchFixture.tasks(1));
      fixture.advance(150);
    }

    assertThat(fixture.leader()).isNotSameAs(leader);
  }

  @Test
  void should_pass_the_leadership_to_a_process_that_has_just_started() {
    for (int number = 0; number < 4; number++) {
      fixture.instance("long-running-" + number, DispatchFixture.LARGE);
    }
    fixture.advance(60_000);
    final Instance restarted = fixture.instance("restarted", DispatchFixture.LARGE);
    fixture.advance(2_000);

    Instance leader = fixture.leader();
    leader.dispatcher.resign(leader::disconnect);
    fixture.advance(500);

    assertThat(fixture.leader()).isSameAs(restarted);
  }

  private void startSmallInstances() {
    for (int number = 0; number < SMALL_INSTANCES; number++) {
      fixture.instance("small-" + number, DispatchFixture.SMALL);
    }
  }
}
