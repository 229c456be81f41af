package io.dragonflyturn.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SelectorTest {
  private static final Map<String, String> LABELS = Map.of("tier", "gold", "site", "dock");

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "''|true",
        "tier=gold|true",
        "tier = gold , site=dock|true",
        "tier=silver|false",
        "tier!=gold|false",
        "tier!=silver|true",
        "absent!=x|true",
        "tier in (silver gold)|true",
        "tier in (silver)|false",
        "tier|true",
        "absent|false",
        "!absent|true",
        "!tier|false",
      })
  void should_match_labels_by_all_terms(String text, boolean expected) {
    assertThat(Selector.parse(text).matches(LABELS)).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"tier==gold|0", "tier=gold,|10", "tier=gold, b c|11", "a in ()|6", "=x|0"})
  void should_report_the_position_of_a_malformed_term(String text, int position) {
    assertThatThrownBy(() -> Selector.parse(text))
        .isInstanceOfSatisfying(
            SelectorException.class,
            exception -> assertThat(exception.position()).isEqualTo(position));
  }

  @Test
  void should_parse_blank_text_as_an_empty_selector() {
    assertThat(Selector.parse(" ").isEmpty()).isTrue();
  }
}
