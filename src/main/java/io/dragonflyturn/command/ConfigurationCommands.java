package io.dragonflyturn.command;

import io.dragonflyturn.ConfigurationProblem;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.VersionedConfiguration;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.internal.settings.SettingsCatalogue;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The commands that show, validate, and apply the configuration, and that list the settings. */
final class ConfigurationCommands {
  private ConfigurationCommands() {}

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "config show",
            "Shows the current configuration with its version.",
            List.of(
                "# Writes a file to edit, which includes the version for 'config apply'",
                "dragonflyturn config show --json > changed.json"),
            new CommandBody.Parsed(Show::new)),
        new CommandDefinition(
            "config validate",
            "Checks a configuration file without applying it.",
            List.of("dragonflyturn config validate changed.json"),
            new CommandBody.Parsed(Validate::new)),
        new CommandDefinition(
            "config apply",
            "Applies a configuration file on the version that it was based on.",
            List.of(
                "# If two operators change the same version, only the first change succeeds",
                "dragonflyturn config show --json > changed.json",
                "dragonflyturn config apply changed.json",
                "# A file without a version",
                "dragonflyturn config apply new.json --base-version 7"),
            new CommandBody.Parsed(Apply::new)),
        new CommandDefinition(
            "config settings",
            "Lists the settings of every process with units and defaults.",
            List.of("dragonflyturn config settings", "dragonflyturn config settings --json"),
            new CommandBody.Parsed(Settings::new)));
  }

  /** Prints the current configuration with its version. */
  private static final class Show extends ClientCommand {
    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      VersionedConfiguration current = client.configuration();
      output.print(JsonCodec.mapper().valueToTree(current));
      return ResultCode.OK.exitStatus();
    }
  }

  /** Validates a configuration file without applying it. */
  private static final class Validate extends ClientCommand {
    @Argument(metaVar = "FILE", required = true, usage = "configuration as JSON")
    private String file = "";

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      List<ConfigurationProblem> problems =
          client.validate(ConfigurationFile.read(file).configuration());
      output.print(Map.of("problems", problems), text(problems));
      return problems.stream().anyMatch(ConfigurationProblem::refuses)
          ? ResultCode.INVALID_CONFIGURATION.exitStatus()
          : ResultCode.OK.exitStatus();
    }

    private static String text(List<ConfigurationProblem> problems) {
      if (problems.isEmpty()) {
        return "The configuration is valid.";
      }
      return problems.stream()
          .map(problem -> problem.severity() + " " + problem.path() + ": " + problem.message())
          .collect(Collectors.joining("\n"));
    }
  }

  /** Applies a configuration file. */
  private static final class Apply extends ClientCommand {
    @Argument(metaVar = "FILE", required = true, usage = "configuration as JSON")
    private String file = "";

    @Option(
        name = "--base-version",
        metaVar = "N",
        usage = "version that the change is based on; by default the one in the file")
    private @Nullable Long baseVersion;

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      ConfigurationFile content = ConfigurationFile.read(file);
      Long base = baseVersion == null ? content.version() : baseVersion;
      if (base == null) {
        throw Reporter.missingBaseVersion(file);
      }
      long version = client.apply(base, content.configuration());
      output.print(Map.of("version", version), "Version " + version + " is in force.");
      return ResultCode.OK.exitStatus();
    }
  }

  /** Lists the settings of all processes. */
  private static final class Settings extends Command {
    @Override
    int run(CommandContext context) {
      CommandOutput output = new CommandOutput(context.output(), json());
      List<SettingRow> rows = SettingRow.all();
      TextTable table = new TextTable("Process", "Flag", "Variable", "Unit", "Default", "Meaning");
      for (SettingRow row : rows) {
        table.add(
            row.process(),
            row.flag(),
            row.environmentVariable(),
            row.unit(),
            row.required() ? "(required)" : row.defaultValue(),
            row.description());
      }
      output.print(Map.of("settings", rows), table);
      return ResultCode.OK.exitStatus();
    }
  }

  /** A setting of one process, as one row of the list. */
  private record SettingRow(
      String process,
      String flag,
      String environmentVariable,
      String unit,
      String defaultValue,
      boolean required,
      String allowed,
      String description) {
    static List<SettingRow> all() {
      return SettingsCatalogue.roles().stream()
          .flatMap(
              role ->
                  role.settings().stream()
                      .map(
                          setting ->
                              new SettingRow(
                                  role.name(),
                                  setting.flag(),
                                  setting.environmentVariable(),
                                  setting.unit(),
                                  setting.defaultText(),
                                  setting.required(),
                                  setting.allowed(),
                                  setting.description())))
          .toList();
    }
  }
}
