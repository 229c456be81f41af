package io.dragonflyturn.daemon;

import java.util.UUID;

/**
 * The identity of one process start.
 *
 * @param id the name of the instance with a part that no other start has
 */
public record Incarnation(String id) {
  private static final int SUFFIX_LENGTH_CHARACTERS = 12;

  /** Returns a new identity for an instance. */
  static Incarnation of(String instanceName) {
    String suffix = UUID.randomUUID().toString().replace("-", "");
    return new Incarnation(instanceName + "." + suffix.substring(0, SUFFIX_LENGTH_CHARACTERS));
  }
}
