package io.dragonflyturn.command;

import io.dragonflyturn.internal.settings.SettingsRole;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/** The implementation of a command: a parsed command, a server process, or a stand-in. */
sealed interface CommandBody {
  /**
   * A command whose options are parsed into a new object for each run.
   *
   * @param create creates the object
   */
  record Parsed(Supplier<Command> create) implements CommandBody {}

  /**
   * A server process that parses its own settings.
   *
   * @param role the settings that the process accepts
   * @param main runs the process until it ends and returns its exit status
   */
  record Process(SettingsRole role, ToIntFunction<String[]> main) implements CommandBody {}

  /**
   * A simulated part of the platform, for trials on a single machine.
   *
   * @param main runs the stand-in until the process ends
   */
  record StandIn(StandInMain main) implements CommandBody {}

  /** The main method of a stand-in. */
  @FunctionalInterface
  interface StandInMain {
    /** Runs the stand-in until the process ends. */
    void run(String[] arguments) throws InterruptedException;
  }
}
