package io.dragonflyturn.model;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Checks record fields from external input and replaces null by empty values. */
final class Fields {
  private Fields() {}

  /** Returns an immutable copy of a list, or an empty list for null. */
  static <T> List<T> copy(@Nullable List<T> values) {
    return values == null ? List.of() : List.copyOf(values);
  }

  /** Returns an immutable copy of a map, or an empty map for null. */
  static <K, V> Map<K, V> copy(@Nullable Map<K, V> values) {
    return values == null ? Map.of() : Map.copyOf(values);
  }

  /** Returns the text, or an empty string for null. */
  static String text(@Nullable String value) {
    return value == null ? "" : value;
  }

  /**
   * Checks that a field is not null.
   *
   * @throws IllegalArgumentException if the value is null
   */
  static void require(String field, @Nullable Object value) {
    if (value == null) {
      throw new IllegalArgumentException("the field '" + field + "' is missing");
    }
  }
}
