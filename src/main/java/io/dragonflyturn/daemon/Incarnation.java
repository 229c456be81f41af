package io.dragonflyturn.daemon;

import java.util.UUID;

/**
 * Identifies one start of a process, so that restarts of the same instance can be told apart.
 *
 * @param id the name of the instance followed by a suffix that is unique to this start
 */
public record Incarnation(String id) {
  private static final int SUFFIX_LENGTH_CHARACTERS = 12;

  /** Creates a new unique identity for an instance. */
  static Incarnation of(String instanceName) {
    String suffix = UUID.randomUUID().toString().replace("-", "");
    return new Incarnation(instanceName + "." + suffix.substring(0, SUFFIX_LENGTH_CHARACTERS));
  }
}
