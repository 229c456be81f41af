package io.dragonflyturn.command;

import io.dragonflyturn.AuditEntry;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Customer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The operator commands for customers, failure domains, the audit trail, and metrics. */
final class OperatorCommands {
  private OperatorCommands() {}

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "customer list",
            "Lists customers with their guaranteed accelerators.",
            List.of("dragonflyturn customer list"),
            new CommandBody.Parsed(CustomerList::new)),
        new CommandDefinition(
            "domain take-out",
            "Takes a failure domain out of service; running work must leave by the deadline.",
            List.of(
                "# Allow running work ten minutes to leave",
                "dragonflyturn domain take-out glenorchy --within 600",
                "# The log is unavailable: notify every entry directly",
                "dragonflyturn domain take-out glenorchy --emergency"),
            new CommandBody.Parsed(TakeOut::new)),
        new CommandDefinition(
            "domain bring-back",
            "Brings a failure domain back into service.",
            List.of("dragonflyturn domain bring-back glenorchy"),
            new CommandBody.Parsed(BringBack::new)),
        new CommandDefinition(
            "domain explain",
            "Shows what happens in a failure domain and why.",
            List.of("dragonflyturn domain explain glenorchy"),
            new CommandBody.Parsed(Explain::new)),
        new CommandDefinition(
            "audit",
            "Shows who changed what, when, and from which version.",
            List.of("dragonflyturn audit --from 0 --most 20"),
            new CommandBody.Parsed(Audit::new)),
        new CommandDefinition(
            "summary",
            "Shows the position, the leader, and the counts of the entry's scheduler.",
            List.of("dragonflyturn summary"),
            new CommandBody.Parsed(Summary::new)),
        new CommandDefinition(
            "metrics",
            "Shows the counters and latencies of an entry.",
            List.of("dragonflyturn metrics --entries http://10.0.0.1:7400"),
            new CommandBody.Parsed(Metrics::new)));
  }

  /** Lists customers with their guarantees and quotas. */
  private static final class CustomerList extends ClientCommand {
    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      List<Customer> customers = client.configuration().configuration().customers();
      TextTable table = new TextTable("Customer", "Guaranteed accelerators", "Quota");
      for (Customer customer : customers) {
        int quota = customer.quotaAccelerators();
        table.add(customer.name(), customer.guaranteedAccelerators(), quota == 0 ? "none" : quota);
      }
      output.print(Map.of("customers", customers), table);
      return ResultCode.OK.exitStatus();
    }
  }

  /** Takes a failure domain out of service. */
  private static final class TakeOut extends ClientCommand {
    @Argument(metaVar = "FAILURE_DOMAIN", required = true, usage = "name of the failure domain")
    private String name = "";

    @Option(
        name = "--within",
        metaVar = "SECONDS",
        usage = "how long running work may continue; 300 by default")
    private long withinSeconds = 300;

    @Option(
        name = "--emergency",
        usage = "notify every entry directly, even while the log is unavailable")
    private boolean emergency;

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      client.takeOut(name, Duration.ofSeconds(withinSeconds), emergency);
      output.print(Map.of("failureDomain", name), "Took out " + name + ".");
      return ResultCode.OK.exitStatus();
    }
  }

  /** Brings a failure domain back into service. */
  private static final class BringBack extends ClientCommand {
    @Argument(metaVar = "FAILURE_DOMAIN", required = true, usage = "name of the failure domain")
    private String name = "";

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      client.bringBack(name);
      output.print(Map.of("failureDomain", name), "Bringing back " + name + ".");
      return ResultCode.OK.exitStatus();
    }
  }

  /** Shows the state of a failure domain and the reasons for it. */
  private static final class Explain extends ClientCommand {
    @Argument(metaVar = "FAILURE_DOMAIN", required = true, usage = "name of the failure domain")
    private String name = "";

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      output.print(client.explainDomain(name));
      return ResultCode.OK.exitStatus();
    }
  }

  /** Shows the audit trail. */
  private static final class Audit extends ClientCommand {
    @Option(name = "--from", metaVar = "POSITION", usage = "first position to show; 0 by default")
    private long from;

    @Option(
        name = "--most",
        metaVar = "N",
        usage = "maximum number of entries to show; 100 by default")
    private int most = 100;

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      List<AuditEntry> entries = client.audit(from, most);
      TextTable table = new TextTable("Position", "When", "Who", "Action", "From", "To", "Change");
      for (AuditEntry entry : entries) {
        table.add(
            entry.position(),
            Instant.ofEpochMilli(entry.atMillis()),
            entry.actor(),
            entry.action(),
            entry.fromVersion(),
            entry.toVersion(),
            entry.summary());
      }
      output.print(Map.of("entries", entries), table);
      return ResultCode.OK.exitStatus();
    }
  }

  /** Shows a summary of the state of the entry's scheduler replica. */
  private static final class Summary extends ClientCommand {
    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      output.print(client.summary());
      return ResultCode.OK.exitStatus();
    }
  }

  /** Shows the metrics of an entry. */
  private static final class Metrics extends ClientCommand {
    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      String text = client.metrics().stripTrailing();
      output.print(Map.of("metrics", text), text);
      return ResultCode.OK.exitStatus();
    }
  }
}
