package io.dragonflyturn.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CombinedStoreStatusTest {
  private static final StoreStatus CURRENT = new FixedStatus(true, true, Duration.ZERO);

  @Test
  void should_be_unreachable_since_the_last_contact_over_an_unreachable_topic() {
    StoreStatus status =
        new CombinedStoreStatus(
            CURRENT,
            new FixedStatus(true, false, Duration.ofSeconds(3)),
            new FixedStatus(true, false, Duration.ofSeconds(2)));

    assertThat(status.isReachable()).isFalse();
    assertThat(status.unreachableDuration()).isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void should_be_as_old_as_the_oldest_topic() {
    StoreStatus status =
        new CombinedStoreStatus(
            new FixedStatus(true, true, Duration.ZERO, Duration.ofMillis(300)),
            new FixedStatus(true, true, Duration.ZERO, Duration.ofMillis(900)));

    assertThat(status.age()).isEqualTo(Duration.ofMillis(900));
  }

  @Test
  void should_be_loaded_once_all_topics_are() {
    StoreStatus loading = new FixedStatus(false, true, Duration.ZERO);

    assertThat(new CombinedStoreStatus(CURRENT, loading).isLoaded()).isFalse();
    assertThat(new CombinedStoreStatus(CURRENT, CURRENT).isLoaded()).isTrue();
  }

  private record FixedStatus(
      boolean isLoaded, boolean isReachable, Duration unreachableDuration, Duration age)
      implements StoreStatus {
    FixedStatus(boolean isLoaded, boolean isReachable, Duration unreachableDuration) {
      this(isLoaded, isReachable, unreachableDuration, unreachableDuration);
    }
  }
}
