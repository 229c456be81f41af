package io.dragonflyturn.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.model.Worker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests for how long a failure domain that was taken out in an emergency is removed from routing
 * views.
 */
class EmergencyDomainFilterTest {
  private static final Worker IN_FIRST = worker("w1", "first");
  private static final Worker IN_SECOND = worker("w2", "second");

  private final EmergencyDomainFilter filter = new EmergencyDomainFilter();

  @Test
  void should_remove_the_targets_of_the_failure_domain() {
    filter.takeOut("second");

    assertThat(filter.apply(view(IN_FIRST, IN_SECOND)).targets()).containsExactly(IN_FIRST);
  }

  @Test
  void should_follow_the_view_once_the_log_has_taken_the_failure_domain_out() {
    filter.takeOut("second");
    filter.apply(view(IN_FIRST));

    assertThat(filter.apply(view(IN_FIRST, IN_SECOND)).targets())
        .containsExactly(IN_FIRST, IN_SECOND);
  }

  @Test
  void should_keep_the_failure_domain_out_after_a_view_without_targets() {
    filter.takeOut("second");
    filter.apply(view());

    assertThat(filter.apply(view(IN_FIRST, IN_SECOND)).targets()).containsExactly(IN_FIRST);
  }

  private static RoutingView view(Worker... targets) {
    return new RoutingView(1, 1, 0, false, List.of(), List.of(targets), Map.of(), Map.of());
  }

  private static Worker worker(String name, String domain) {
    return new Worker(
        name, "127.0.0.1:1", domain, domain + "-1", 8, 30, 60_000, 8, false, Map.of());
  }
}
