package io.dragonflyturn;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * An error or a warning found when a configuration is validated.
 *
 * @param path the location in the configuration, such as {@code rules[2].jobs}
 * @param severity ERROR if the configuration is rejected because of the problem, otherwise WARNING
 * @param message a description of the problem and how to correct it
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ConfigurationProblem(String path, String severity, String message) {
  private static final String ERROR = "ERROR";

  /** Returns whether the configuration is rejected because of this problem. */
  public boolean refuses() {
    return severity.equals(ERROR);
  }
}
