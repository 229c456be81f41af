package io.dragonflyturn.command;

import java.io.PrintStream;
import java.time.InstantSource;
import java.util.Map;

/**
 * The environment in which a command runs: output streams, environment variables, and clock.
 *
 * @param output the stream for results
 * @param errors the stream for progress and error messages
 * @param environment the environment variables
 * @param clock the source of the current time
 */
public record CommandContext(
    PrintStream output, PrintStream errors, Map<String, String> environment, InstantSource clock) {
  /** Copies the environment variables. */
  public CommandContext {
    environment = Map.copyOf(environment);
  }
}
