package io.dragonflyturn.standin;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Parses the command-line arguments of the stand-in and test processes. */
public final class ToolArguments {
  private static final int EXIT_USAGE = 2;

  private ToolArguments() {}

  /**
   * Sets the annotated option fields of a tool from its arguments. Prints the usage and exits the
   * process if an argument is invalid.
   */
  public static void read(Object tool, String[] arguments) {
    try {
      new CmdLineParser(tool).parseArgument(arguments);
    } catch (CmdLineException invalid) {
      System.err.println(invalid.getMessage());
      invalid.getParser().printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
  }
}
