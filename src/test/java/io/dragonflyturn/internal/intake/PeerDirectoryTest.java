package io.dragonflyturn.internal.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PeerDirectoryTest {
  private final Map<String, String> published = new HashMap<>();
  private final PeerDirectory peers =
      new PeerDirectory(() -> published, "self", List.of("10.0.0.2:7180", "10.0.0.3:7180"));

  @Test
  void should_return_the_seed_addresses_before_any_address_is_published() {
    assertThat(peers.get().values()).containsExactly("10.0.0.2:7180", "10.0.0.3:7180");
  }

  @Test
  void should_return_the_seed_addresses_while_only_the_own_address_is_published() {
    published.put("self", "10.0.0.1:7180");

    assertThat(peers.get().values()).containsExactly("10.0.0.2:7180", "10.0.0.3:7180");
  }

  @Test
  void should_return_the_published_addresses_of_other_instances_only() {
    published.put("self", "10.0.0.1:7180");
    published.put("other", "10.0.0.9:7180");

    assertThat(peers.get()).containsExactly(Map.entry("other", "10.0.0.9:7180"));
  }
}
