package io.dragonflyturn.command;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.Request;
import io.dragonflyturn.RequestAnswer;
import io.dragonflyturn.RequestKind;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The commands that send requests to targets and issue request ids. */
final class RequestCommands {
  private RequestCommands() {}

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "request send",
            "Sends a request and prints its answer.",
            List.of(
                "# A booking that runs at most once; the same id again gets the first answer",
                "dragonflyturn request send --kind booking --id swap-881 --urgency urgent"
                    + " --body 'locker 12, battery A'",
                "# A reading, which may be retried on another target",
                "dragonflyturn request send --kind reading --idempotent --body 'kiln 3'"),
            new CommandBody.Parsed(Send::new)),
        new CommandDefinition(
            "request ids",
            "Issues request ids that remain usable while the log is unavailable.",
            List.of("dragonflyturn request ids 8"),
            new CommandBody.Parsed(Ids::new)));
  }

  /** Sends one request. */
  private static final class Send extends ClientCommand {
    @Option(
        name = "--id",
        metaVar = "ID",
        usage = "idempotency key of the request; random by default")
    private String id = "";

    @Option(name = "--issued", usage = "the id comes from 'request ids'")
    private boolean issued;

    @Option(
        name = "--created-at",
        metaVar = "TIME",
        usage = "creation time of the request, such as 2026-12-01T08:00:00Z; now by default")
    private @Nullable String createdAt;

    @Option(name = "--kind", usage = "kind of the request; BOOKING by default")
    private RequestKind kind = RequestKind.BOOKING;

    @Option(name = "--urgency", usage = "urgency class of the request; NORMAL by default")
    private Urgency urgency = Urgency.NORMAL;

    @Option(
        name = "--deadline",
        metaVar = "MILLISECONDS",
        usage = "time to wait for the answer; 10000 by default")
    private long deadlineMillis = 10_000;

    @Option(name = "--idempotent", usage = "the target may run the request more than once")
    private boolean idempotent;

    @Option(name = "--body", metaVar = "TEXT", usage = "content for the target")
    private String body = "";

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      RequestAnswer answer = client.send(request(context));
      output.print(answer, answer.answer());
      return ResultCode.OK.exitStatus();
    }

    private Request request(CommandContext context) {
      Instant creationTime = createdAt == null ? context.clock().instant() : parse(createdAt);
      String key = id.isEmpty() ? UUID.randomUUID().toString() : id;
      Duration deadline = Duration.ofMillis(deadlineMillis);
      return new Request(key, issued, creationTime, kind, urgency, deadline, idempotent, body);
    }

    private static Instant parse(String text) {
      try {
        return Instant.parse(text);
      } catch (DateTimeParseException invalidTime) {
        throw Reporter.invalidArguments(
            "request send",
            "--created-at is '" + text + "'; allowed: a time such as 2026-12-01T08:00:00Z",
            invalidTime);
      }
    }
  }

  /** Issues request ids. */
  private static final class Ids extends ClientCommand {
    @Argument(metaVar = "COUNT", usage = "how many ids; 1 by default")
    private int count = 1;

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      List<String> ids = client.issueRequestIds(count);
      output.print(Map.of("requestIds", ids), String.join("\n", ids));
      return ResultCode.OK.exitStatus();
    }
  }
}
