package io.dragonflyturn.command;

import org.kohsuke.args4j.Option;

/** Base class of commands that parse their options; holds the options common to all of them. */
abstract class Command {
  @Option(name = "--json", usage = "print only one JSON object to standard output")
  private boolean json;

  @Option(
      name = "--help",
      aliases = {"-h"},
      help = true,
      usage = "print this help")
  private boolean help;

  boolean json() {
    return json;
  }

  boolean help() {
    return help;
  }

  /**
   * Runs the command.
   *
   * @return the exit status
   * @throws io.dragonflyturn.DragonflyturnException if the command fails
   */
  abstract int run(CommandContext context);
}
