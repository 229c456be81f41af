package io.dragonflyturn.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AppendRateLimiterTest {
  private static final int APPENDS_PER_SECOND = 40;
  private static final int BURST_APPENDS = 2;

  @Test
  void should_not_delay_an_append_after_an_idle_period() {
    assertThat(new AppendRateLimiter(APPENDS_PER_SECOND, BURST_APPENDS, 0).delayNanoseconds(0))
        .isZero();
  }

  @Test
  void should_delay_the_next_append_under_load() {
    AppendRateLimiter rateLimiter = new AppendRateLimiter(APPENDS_PER_SECOND, BURST_APPENDS, 0);
    rateLimiter.recordAppend(0);
    rateLimiter.recordAppend(0);

    assertThat(rateLimiter.delayNanoseconds(0)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(25));
  }

  @Test
  void should_not_accumulate_more_than_the_burst() {
    AppendRateLimiter rateLimiter = new AppendRateLimiter(APPENDS_PER_SECOND, BURST_APPENDS, 0);
    long muchLaterNanoseconds = TimeUnit.HOURS.toNanos(1);
    rateLimiter.recordAppend(muchLaterNanoseconds);
    rateLimiter.recordAppend(muchLaterNanoseconds);

    assertThat(rateLimiter.delayNanoseconds(muchLaterNanoseconds)).isPositive();
  }
}
