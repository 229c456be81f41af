package io.dragonflyturn.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.http.Health;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.model.Worker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the health status that an entry reports to the load balancer. */
class EntryHealthTest {
  private final EntryHealth health = new EntryHealth();

  @Test
  void should_be_starting_before_the_first_view() {
    assertThat(health.update(RoutingView.NONE, false, false)).isEqualTo(Health.STARTING);
  }

  @Test
  void should_be_starting_while_it_has_no_slots_at_targets() {
    assertThat(health.update(view(false, Map.of()), true, false)).isEqualTo(Health.STARTING);
  }

  @Test
  void should_be_ok_with_slots() {
    assertThat(health.update(view(false, Map.of("w", 2)), true, false)).isEqualTo(Health.OK);
  }

  @Test
  void should_be_starting_until_its_control_state_is_fresh() {
    assertThat(health.update(view(false, Map.of("w", 2)), false, false)).isEqualTo(Health.STARTING);
  }

  @Test
  void should_stay_ok_when_its_control_state_becomes_stale() {
    health.update(view(false, Map.of("w", 2)), true, false);

    assertThat(health.update(view(false, Map.of("w", 2)), false, false)).isEqualTo(Health.OK);
  }

  @Test
  void should_be_ok_when_every_target_is_leaving() {
    assertThat(health.update(view(true, Map.of()), true, false)).isEqualTo(Health.OK);
  }

  @Test
  void should_be_draining_during_a_drain() {
    assertThat(health.update(view(false, Map.of("w", 2)), true, true)).isEqualTo(Health.DRAINING);
  }

  private static RoutingView view(boolean leaving, Map<String, Integer> credits) {
    Worker worker = new Worker("w", "127.0.0.1:1", "a", "r", 8, 30, 60_000, 8, leaving, Map.of());
    return new RoutingView(1, 1, 0, false, List.of(), List.of(worker), credits, Map.of());
  }
}
