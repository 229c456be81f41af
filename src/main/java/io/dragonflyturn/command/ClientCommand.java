package io.dragonflyturn.command;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.internal.Reporter;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Base class of commands that call the HTTP interface of an entry. */
abstract class ClientCommand extends Command {
  private static final String ENTRIES_VARIABLE = "DRAGONFLYTURN_ENTRIES";
  private static final String TOKEN_VARIABLE = "DRAGONFLYTURN_TOKEN";
  private static final String DEFAULT_ENTRIES = "http://127.0.0.1:7400";

  @Option(
      name = "--entries",
      metaVar = "URL,...",
      usage =
          "URLs of entries, in order of preference"
              + " (DRAGONFLYTURN_ENTRIES; default http://127.0.0.1:7400)")
  private String entries = "";

  @Option(
      name = "--token",
      metaVar = "TOKEN",
      usage = "token of a customer or an operator (DRAGONFLYTURN_TOKEN)")
  private String token = "";

  @Option(name = "--timeout", metaVar = "SECONDS", usage = "timeout of a call; 30 by default")
  private int timeoutSeconds = 30;

  @Override
  final int run(CommandContext context) {
    try (Dragonflyturn client =
        Dragonflyturn.connect(
            entries(context), token(context), Duration.ofSeconds(timeoutSeconds))) {
      return run(client, context, new CommandOutput(context.output(), json()));
    }
  }

  /**
   * Runs the command with a connected client.
   *
   * @return the exit status
   */
  abstract int run(Dragonflyturn client, CommandContext context, CommandOutput output);

  private List<URI> entries(CommandContext context) {
    String text = entries;
    if (text.isEmpty()) {
      text = context.environment().getOrDefault(ENTRIES_VARIABLE, DEFAULT_ENTRIES);
    }
    try {
      return Arrays.stream(text.split(",", -1)).map(String::strip).map(URI::create).toList();
    } catch (IllegalArgumentException invalidUrl) {
      throw Reporter.invalidEntryList(text, invalidUrl);
    }
  }

  private String token(CommandContext context) {
    return token.isEmpty() ? context.environment().getOrDefault(TOKEN_VARIABLE, "") : token;
  }
}
