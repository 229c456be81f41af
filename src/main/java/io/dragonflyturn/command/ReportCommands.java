package io.dragonflyturn.command;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.internal.report.HtmlReport;
import io.dragonflyturn.internal.report.ReportText;
import io.dragonflyturn.model.ReportData;
import io.dragonflyturn.model.ReportRow;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** The command that shows the quarterly capacity report. */
final class ReportCommands {
  private ReportCommands() {}

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "report",
            "Shows whether promised capacity is available and whether work finished on time.",
            List.of(
                "# A one-line summary, then a row for each customer",
                "dragonflyturn report",
                "# The same with plots, in one self-contained file",
                "dragonflyturn report --html quarter.html"),
            new CommandBody.Parsed(Report::new)));
  }

  /** Prints the report and optionally writes it as HTML. */
  private static final class Report extends ClientCommand {
    @Option(name = "--html", metaVar = "FILE", usage = "also write the report with plots as HTML")
    private @Nullable String file;

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      ReportData report = client.report();
      if (file != null) {
        write(report, file);
      }
      output.print(report, ReportText.headline(report) + "\n\n" + table(report));
      return ResultCode.OK.exitStatus();
    }

    private static void write(ReportData report, String file) {
      try {
        Files.writeString(Path.of(file), HtmlReport.of(report));
      } catch (IOException failure) {
        throw Reporter.inaccessibleFile(file, failure);
      }
    }

    private static TextTable table(ReportData report) {
      TextTable table =
          new TextTable(
              "Customer", "Promised", "Held", "Waiting", "Ended", "Completed", "On time", "Mean");
      for (ReportRow row : report.customers()) {
        table.add(
            row.customer(),
            row.promisedAccelerators(),
            row.heldAccelerators(),
            row.waitingJobs(),
            row.endedJobs(),
            row.completedJobs(),
            row.finishedOnTime(),
            ReportText.seconds(row.meanCompletionSeconds()));
      }
      return table;
    }
  }
}
