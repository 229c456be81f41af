package io.dragonflyturn.command;

import io.dragonflyturn.internal.Reporter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The registry of all commands, in the order in which the help text lists them. */
final class CommandCatalogue {
  private CommandCatalogue() {}

  /** Returns all commands. */
  static List<CommandDefinition> all() {
    List<CommandDefinition> commands = new ArrayList<>();
    commands.addAll(Demo.all());
    commands.addAll(JobCommands.all());
    commands.addAll(RequestCommands.all());
    commands.addAll(OperatorCommands.all());
    commands.addAll(ConfigurationCommands.all());
    commands.addAll(ReportCommands.all());
    commands.addAll(ProcessCommands.all());
    return List.copyOf(commands);
  }

  /**
   * Returns the command whose name the arguments begin with.
   *
   * @throws io.dragonflyturn.DragonflyturnException if no command matches
   */
  static CommandDefinition find(String[] arguments) {
    for (CommandDefinition command : all()) {
      if (beginsWith(arguments, command.words().split(" ", -1))) {
        return command;
      }
    }
    throw Reporter.unknownCommand(String.join(" ", arguments));
  }

  private static boolean beginsWith(String[] arguments, String[] words) {
    return arguments.length >= words.length
        && Arrays.equals(Arrays.copyOf(arguments, words.length), words);
  }
}
