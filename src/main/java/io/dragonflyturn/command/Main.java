package io.dragonflyturn.command;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.internal.http.ApiBody;
import io.dragonflyturn.internal.http.JsonCodec;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * The dragonflyturn command line. The exit status is 0 on success, otherwise that of the {@link
 * ResultCode}.
 */
public final class Main {
  private static final List<String> HELP_WORDS = List.of("--help", "-h", "help");
  private static final String JSON_FLAG = "--json";

  private final CommandContext context;

  /** Creates a command line that runs in the given context. */
  public Main(CommandContext context) {
    this.context = context;
  }

  /** Runs one command and exits the process with its exit status. */
  public static void main(String[] arguments) {
    CommandContext context =
        new CommandContext(System.out, System.err, System.getenv(), Clock.systemUTC());
    System.exit(new Main(context).run(arguments));
  }

  /**
   * Runs one command.
   *
   * @return the exit status
   */
  public int run(String... arguments) {
    boolean json = List.of(arguments).contains(JSON_FLAG);
    try {
      return dispatch(arguments);
    } catch (DragonflyturnException failure) {
      return reportFailure(failure.code(), String.valueOf(failure.getMessage()), json);
    }
  }

  private int dispatch(String[] arguments) {
    if (arguments.length == 0 || HELP_WORDS.contains(arguments[0])) {
      context.output().println(HelpText.overview(CommandCatalogue.all()));
      return ResultCode.OK.exitStatus();
    }
    CommandDefinition definition = CommandCatalogue.find(arguments);
    String[] remaining = Arrays.copyOfRange(arguments, definition.wordCount(), arguments.length);
    return switch (definition.body()) {
      case CommandBody.Parsed parsed -> runParsed(definition, parsed, remaining);
      case CommandBody.Process process -> runProcess(definition, process, remaining);
      case CommandBody.StandIn standIn -> runStandIn(definition, standIn, remaining);
    };
  }

  private int runParsed(
      CommandDefinition definition, CommandBody.Parsed parsed, String[] remaining) {
    Command command = parsed.create().get();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withShowDefaults(false));
    try {
      parser.parseArgument(remaining);
    } catch (CmdLineException invalid) {
      throw Reporter.invalidArguments(
          definition.words(), String.valueOf(invalid.getMessage()), invalid);
    }
    if (command.help()) {
      context.output().println(HelpText.command(definition, parser));
      return ResultCode.OK.exitStatus();
    }
    return command.run(context);
  }

  private int runProcess(
      CommandDefinition definition, CommandBody.Process process, String[] remaining) {
    if (remaining.length > 0 && HELP_WORDS.contains(remaining[0])) {
      context.output().println(HelpText.process(definition, process.role()));
      return ResultCode.OK.exitStatus();
    }
    return process.main().applyAsInt(remaining);
  }

  private int runStandIn(
      CommandDefinition definition, CommandBody.StandIn standIn, String[] remaining) {
    if (remaining.length > 0 && HELP_WORDS.contains(remaining[0])) {
      context.output().println(HelpText.standIn(definition));
      return ResultCode.OK.exitStatus();
    }
    try {
      standIn.main().run(remaining);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    return ResultCode.OK.exitStatus();
  }

  private int reportFailure(ResultCode code, String message, boolean json) {
    if (json) {
      context.output().println(JsonCodec.text(ApiBody.of(code, message, null)));
    }
    context.errors().println("dragonflyturn: " + code.number() + " " + code + ": " + message);
    return code.exitStatus();
  }
}
