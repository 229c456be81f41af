package io.dragonflyturn.command;

import io.dragonflyturn.internal.settings.Setting;
import io.dragonflyturn.internal.settings.SettingsRole;
import java.io.StringWriter;
import java.util.List;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;

/** Formats the help texts of the command line, with examples before options. */
final class HelpText {
  private static final String INDENT = "  ";
  private static final List<String> OVERVIEW =
      List.of(
          "dragonflyturn schedules jobs that need several accelerators at once, under guarantees.",
          "",
          "Examples:",
          "  # Submit a gang of 4 members with 8 accelerators each, and show why it waits",
          "  dragonflyturn job submit --id forecast-12 --members 4 --accelerators 8 --span rack",
          "  dragonflyturn job explain forecast-12",
          "  # Take a failure domain out and bring it back",
          "  dragonflyturn domain take-out glenorchy --within 600",
          "  dragonflyturn domain bring-back glenorchy");
  private static final List<String> FOOTER =
      List.of(
          "'dragonflyturn COMMAND --help' shows the options of a command with examples.",
          "Exit statuses: 0 success, 10 invalid input, 20 not permitted, 30 rejected and",
          "not run, 40 run and failed, 50 outcome unknown, 60 conflict, 70 failure between"
              + " processes.");

  private HelpText() {}

  static String overview(List<CommandDefinition> commands) {
    TextTable table = new TextTable("Command", "What it does");
    for (CommandDefinition command : commands) {
      table.add(command.words(), command.summary());
    }
    return String.join("\n", OVERVIEW) + "\n\n" + table + "\n\n" + String.join("\n", FOOTER);
  }

  static String command(CommandDefinition definition, CmdLineParser parser) {
    StringWriter options = new StringWriter();
    parser.printUsage(options, null, OptionHandlerFilter.PUBLIC);
    String usage = parser.printExample(OptionHandlerFilter.REQUIRED);
    return header(definition, usage) + "Options:\n" + options.toString().stripTrailing();
  }

  static String process(CommandDefinition definition, SettingsRole role) {
    StringBuilder text = new StringBuilder(header(definition, " [SETTINGS]"));
    text.append(
        "Settings, each as a flag or an environment variable; the flag takes precedence:\n");
    for (Setting<?> setting : role.settings()) {
      text.append(formatSetting(setting));
    }
    return text.toString().stripTrailing();
  }

  static String standIn(CommandDefinition definition) {
    return header(definition, " [OPTIONS]") + "For trials and tests only, not for production use.";
  }

  private static String header(CommandDefinition definition, String usage) {
    StringBuilder text = new StringBuilder();
    text.append("dragonflyturn ").append(definition.words()).append(usage).append("\n\n");
    text.append(definition.summary()).append("\n\n");
    if (!definition.examples().isEmpty()) {
      text.append("Examples:\n");
      definition.examples().forEach(example -> text.append(INDENT).append(example).append('\n'));
      text.append('\n');
    }
    return text.toString();
  }

  private static String formatSetting(Setting<?> setting) {
    String value =
        setting.required()
            ? "required"
            : "default " + (setting.defaultText().isEmpty() ? "none" : setting.defaultText());
    return String.format(
        "  %s %s%n      %s%n      %s; %s; %s%n",
        setting.flag(),
        setting.unit(),
        setting.description(),
        setting.environmentVariable(),
        value,
        setting.allowed());
  }
}
