package io.dragonflyturn.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RoutingViewPollTest {
  private static final Duration MAXIMUM_WAIT = Duration.ofMillis(500);

  private Instant now = Instant.EPOCH;
  private long version = 7;
  private Runnable whileWaiting = () -> {};
  private final RoutingViewPoll poll = new RoutingViewPoll(() -> 3, this::await, () -> now);

  @Test
  void should_return_a_changed_view_at_once() {
    RoutingView answer = poll.poll(this::view, 6, MAXIMUM_WAIT);

    assertThat(answer).isEqualTo(view());
    assertThat(now).isEqualTo(Instant.EPOCH);
  }

  @Test
  void should_return_an_unchanged_view_with_the_log_age_at_the_end_of_the_wait() {
    RoutingView answer = poll.poll(this::view, 7, MAXIMUM_WAIT);

    assertThat(answer.version()).isEqualTo(7);
    assertThat(answer.customers()).isEmpty();
    assertThat(answer.logAgeMillis()).isEqualTo(MAXIMUM_WAIT.toMillis());
  }

  @Test
  void should_return_the_full_view_when_it_changes_without_a_log_record() {
    whileWaiting = () -> version = 8;

    assertThat(poll.poll(this::view, 7, MAXIMUM_WAIT)).isEqualTo(view());
  }

  @Test
  void should_return_when_the_wait_is_interrupted() {
    Thread.currentThread().interrupt();

    assertThat(poll.poll(this::view, 7, MAXIMUM_WAIT).version()).isEqualTo(7);
    assertThat(Thread.interrupted()).isTrue();
  }

  private boolean await(long offset, Duration maximumWait) throws InterruptedException {
    if (Thread.interrupted()) {
      throw new InterruptedException();
    }
    now = now.plus(maximumWait);
    whileWaiting.run();
    return false;
  }

  /**
   * Returns a view whose log age equals the elapsed time, so that tests can tell when it was built.
   */
  private RoutingView view() {
    long age = Duration.between(Instant.EPOCH, now).toMillis();
    return new RoutingView(
        version, 1, age, false, List.of("derwent"), List.of(), Map.of("w", 2), Map.of());
  }
}
