package io.dragonflyturn.internal.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAfterTest {
  private static final int CALLERS = 100;
  private static final int ATTEMPTS = 5;
  private static final long MILLIS_PER_SECOND = 1_000;

  @ParameterizedTest
  @CsvSource({"0, 1", "999, 1", "1000, 2", "1999, 2", "2000, 3", "60000, 3"})
  void should_grow_with_the_outage_up_to_a_maximum(long outageMillis, long seconds) {
    assertThat(RetryAfter.seconds(Duration.ofMillis(outageMillis))).isEqualTo(seconds);
  }

  @ParameterizedTest
  @ValueSource(longs = {4_200, 8_500})
  void should_serve_every_caller_of_an_outage_that_outlasts_constant_delays(long outageMillis) {
    int served = served(outageMillis, RetryAfterTest::growingDelayMillis);

    assertThat(served).isEqualTo(CALLERS);
    assertThat(served(outageMillis, outage -> MILLIS_PER_SECOND)).isLessThan(CALLERS);
  }

  @Test
  void should_delay_no_caller_of_a_short_outage_by_more_than_a_constant_delay_does() {
    long outageMillis = 900;

    for (long arrival = 0; arrival < outageMillis; arrival += 50) {
      assertThat(servedAtMillis(arrival, outageMillis, RetryAfterTest::growingDelayMillis))
          .isEqualTo(servedAtMillis(arrival, outageMillis, outage -> MILLIS_PER_SECOND));
    }
  }

  private static long growingDelayMillis(long outageMillis) {
    return RetryAfter.seconds(Duration.ofMillis(outageMillis)) * MILLIS_PER_SECOND;
  }

  /** Returns how many callers that arrive evenly during an outage are served in the end. */
  private static int served(long outageMillis, LongUnaryOperator delayMillis) {
    int served = 0;
    for (int caller = 0; caller < CALLERS; caller++) {
      long arrival = outageMillis * caller / CALLERS;
      served += servedAtMillis(arrival, outageMillis, delayMillis) >= 0 ? 1 : 0;
    }
    return served;
  }

  /** Returns when a caller is served; -1 if all its attempts are refused. */
  private static long servedAtMillis(
      long arrivalMillis, long outageMillis, LongUnaryOperator delayMillis) {
    long now = arrivalMillis;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (now >= outageMillis) {
        return now;
      }
      now += delayMillis.applyAsLong(now);
    }
    return -1;
  }
}
