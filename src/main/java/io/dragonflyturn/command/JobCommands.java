package io.dragonflyturn.command;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.JobStatus;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.MapOptionHandler;

/** The commands that submit, show, cancel, and explain jobs. */
final class JobCommands {
  private JobCommands() {}

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "job submit",
            "Submits a gang job; submitting the same id again joins the existing job.",
            List.of(
                "# 4 members with 8 adjacent accelerators each, all in one rack",
                "dragonflyturn job submit --id forecast-12 --members 4 --accelerators 8"
                    + " --span rack",
                "# An urgent job that may be stopped and continues from its checkpoint",
                "dragonflyturn job submit --members 1 --accelerators 2 --urgency urgent"
                    + " --stoppable --checkpointable --label kind=rebalance"),
            new CommandBody.Parsed(Submit::new)),
        new CommandDefinition(
            "job status",
            "Shows the state of a job.",
            List.of("dragonflyturn job status forecast-12"),
            new CommandBody.Parsed(Status::new)),
        new CommandDefinition(
            "job list",
            "Lists the jobs that are visible to the caller.",
            List.of("dragonflyturn job list --json"),
            new CommandBody.Parsed(ListJobs::new)),
        new CommandDefinition(
            "job cancel",
            "Cancels jobs; ended jobs are ignored.",
            List.of("dragonflyturn job cancel forecast-12 forecast-13"),
            new CommandBody.Parsed(Cancel::new)),
        new CommandDefinition(
            "job explain",
            "Shows why a job waits, runs, or ended, and what would release it.",
            List.of("dragonflyturn job explain forecast-12"),
            new CommandBody.Parsed(Explain::new)));
  }

  /** Submits a job. */
  private static final class Submit extends ClientCommand {
    @Option(name = "--id", metaVar = "ID", usage = "unique id; random by default")
    private String id = "";

    @Option(name = "--customer", metaVar = "NAME", usage = "customer; the caller by default")
    private String customer = "";

    @Option(
        name = "--members",
        metaVar = "N",
        usage = "members of the gang, 1 to 128; 1 by default")
    private int members = 1;

    @Option(
        name = "--accelerators",
        metaVar = "N",
        usage = "adjacent accelerators of each member, 0 to 16; 1 by default")
    private int accelerators = 1;

    @Option(
        name = "--span",
        usage = "topology level within which all members are placed; REGION by default")
    private Span span = Span.REGION;

    @Option(name = "--urgency", usage = "urgency class of the job; NORMAL by default")
    private Urgency urgency = Urgency.NORMAL;

    @Option(name = "--stoppable", usage = "the job may be stopped to reclaim its accelerators")
    private boolean stoppable;

    @Option(name = "--checkpointable", usage = "the job can continue from a checkpoint")
    private boolean checkpointable;

    @Option(
        name = "--declared-seconds",
        metaVar = "SECONDS",
        usage = "expected run time, an untrusted hint; 60 by default")
    private long declaredSeconds = 60;

    @Option(
        name = "--label",
        metaVar = "KEY=VALUE",
        handler = MapOptionHandler.class,
        usage = "label for the selectors of placement rules; may be repeated")
    private Map<String, String> labels = Map.of();

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      String jobId =
          client.submit(
              new JobSpecification(
                  id,
                  customer,
                  shape(),
                  urgency,
                  stoppable,
                  checkpointable,
                  declaredSeconds,
                  labels));
      output.print(Map.of("jobId", jobId), "Submitted job " + jobId + ".");
      return ResultCode.OK.exitStatus();
    }

    private Shape shape() {
      try {
        return new Shape(members, accelerators, span);
      } catch (IllegalArgumentException invalidShape) {
        throw Reporter.invalidArguments(
            "job submit", String.valueOf(invalidShape.getMessage()), invalidShape);
      }
    }
  }

  /** Shows the state of one job. */
  private static final class Status extends ClientCommand {
    @Argument(metaVar = "JOB", required = true, usage = "id of the job")
    private String id = "";

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      JobStatus status = client.status(id);
      output.print(status, table(List.of(status)));
      return ResultCode.OK.exitStatus();
    }
  }

  /** Lists the jobs that are visible to the caller. */
  private static final class ListJobs extends ClientCommand {
    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      List<JobStatus> jobs = client.jobs();
      output.print(Map.of("jobs", jobs), table(jobs));
      return ResultCode.OK.exitStatus();
    }
  }

  /** Cancels jobs. */
  private static final class Cancel extends ClientCommand {
    @Argument(metaVar = "JOB", required = true, multiValued = true, usage = "ids of jobs")
    private List<String> ids = new ArrayList<>();

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      client.cancel(ids);
      output.print(Map.of("jobIds", ids), "Cancelled " + String.join(", ", ids) + ".");
      return ResultCode.OK.exitStatus();
    }
  }

  /** Shows why one job is in its current state. */
  private static final class Explain extends ClientCommand {
    @Argument(metaVar = "JOB", required = true, usage = "id of the job")
    private String id = "";

    @Override
    int run(Dragonflyturn client, CommandContext context, CommandOutput output) {
      output.print(client.explain(id));
      return ResultCode.OK.exitStatus();
    }
  }

  private static TextTable table(List<JobStatus> jobs) {
    TextTable table = new TextTable("Job", "Customer", "Phase", "Attempt", "Members", "Result");
    for (JobStatus job : jobs) {
      String result = job.endName() == null ? "" : job.endName();
      table.add(
          job.jobId(), job.customer(), job.phase(), job.attempt(), job.placements().size(), result);
    }
    return table;
  }
}
