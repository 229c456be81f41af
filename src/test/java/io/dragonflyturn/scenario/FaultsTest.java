package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs a short random fault test with a fixed seed. */
class FaultsTest {
  /** Selects a suspended instance, a failure domain out of service, and a stopped log. */
  private static final long SEED = 26;

  private static final double MINUTES = 0.5;
  private static final long FAULT_SECONDS = 4;
  private static final long LIMIT_MINUTES = 6;

  @Test
  @Timeout(value = LIMIT_MINUTES, unit = TimeUnit.MINUTES)
  void should_preserve_all_guarantees_under_random_faults() throws InterruptedException {
    FaultsMain.Result result = new FaultsMain(SEED, MINUTES, FAULT_SECONDS).run();

    assertThat(result.clean()).as("%s", result).isTrue();
    assertThat(result.faults()).isPositive();
    assertThat(result.answered()).isPositive();
    assertThat(result.jobs()).isPositive();
  }
}
