package io.dragonflyturn.internal.placement;

/**
 * A problem found in a configuration.
 *
 * @param path the location of the problem, such as {@code rules[2].jobs}
 * @param severity whether the configuration is refused because of it
 * @param message what is wrong and how to correct it
 */
public record ConfigurationProblem(String path, Severity severity, String message) {
  /** The severity of a problem. */
  public enum Severity {
    /** The configuration is refused. */
    ERROR,
    /** The configuration is accepted, and the problem is reported to the operator. */
    WARNING
  }

  static ConfigurationProblem error(String path, String message) {
    return new ConfigurationProblem(path, Severity.ERROR, message);
  }

  static ConfigurationProblem warning(String path, String message) {
    return new ConfigurationProblem(path, Severity.WARNING, message);
  }
}
