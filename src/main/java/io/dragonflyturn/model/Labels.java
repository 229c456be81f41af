package io.dragonflyturn.model;

import java.util.HashMap;
import java.util.Map;

/** Helper methods for labels. */
final class Labels {
  private Labels() {}

  /** Returns the union of two sets of labels; added labels take precedence. */
  static Map<String, String> merged(Map<String, String> labels, Map<String, String> added) {
    Map<String, String> merged = new HashMap<>(labels);
    merged.putAll(added);
    return merged;
  }
}
