package io.dragonflyturn.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RetryBackoffTest {
  private static final Duration MEAN_DELAY = Duration.ofMillis(100);
  private static final int REPLICAS = 9;

  @Test
  void should_return_different_delays_for_different_seeds() {
    Set<Long> delays = new HashSet<>();
    for (int seed = 0; seed < REPLICAS; seed++) {
      delays.add(
          new RetryBackoff(MEAN_DELAY, seed).nextDelayNanoseconds()
              / MEAN_DELAY.dividedBy(10).toNanos());
    }
    assertThat(delays).hasSizeGreaterThan(REPLICAS / 2);
  }

  @Test
  void should_return_equal_delays_for_the_same_seed() {
    assertThat(new RetryBackoff(MEAN_DELAY, 7).nextDelayNanoseconds())
        .isEqualTo(new RetryBackoff(MEAN_DELAY, 7).nextDelayNanoseconds());
  }

  @Test
  void should_increase_the_delay_after_consecutive_failures() {
    RetryBackoff backoff = new RetryBackoff(MEAN_DELAY, 1);
    long firstDelay = backoff.nextDelayNanoseconds();
    backoff.nextDelayNanoseconds();
    backoff.nextDelayNanoseconds();

    assertThat(backoff.nextDelayNanoseconds()).isGreaterThan(firstDelay);
  }
}
