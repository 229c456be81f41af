package io.dragonflyturn.measure.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Compares the placement policy with two baseline policies: {@code bin/measure policy}. */
public final class PolicyMain {
  private static final int EXIT_USAGE = 2;

  @Option(name = "--preset", usage = "cooperative, brunner, or design-size")
  private String preset = "cooperative";

  @Option(name = "--seed", usage = "the first seed")
  private long seed = 1;

  @Option(name = "--seeds", usage = "the number of seeds, counted up from the first")
  private int seeds = 1;

  @Option(name = "--only", usage = "measure only the policy of this name")
  private String only = "";

  @Option(name = "--json", usage = "print one JSON object and nothing else on standard output")
  private boolean json;

  private PolicyMain() {}

  /** Runs the tool. Exits with status 2 if the options are invalid. */
  public static void main(String[] arguments) throws JsonProcessingException {
    PolicyMain main = new PolicyMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
      Preset.of(main.preset);
    } catch (CmdLineException | IllegalArgumentException exception) {
      System.err.println(exception.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    main.run(System.out, System.err);
  }

  private void run(PrintStream output, PrintStream progress) throws JsonProcessingException {
    List<PolicyResult> results = new ArrayList<>();
    for (MeasuredPolicy policy :
        List.of(new DragonflyturnPolicy(), new FirstFitPolicy(), new BackfillPolicy())) {
      if (only.isEmpty() || only.equals(policy.name())) {
        results.add(measure(policy, progress));
      }
    }
    if (json) {
      output.println(
          new ObjectMapper().writeValueAsString(new PolicyReport(preset, seed, results)));
    } else {
      printTable(output, results);
    }
  }

  private PolicyResult measure(MeasuredPolicy policy, PrintStream progress) {
    List<PolicyMetrics> runs = new ArrayList<>();
    for (long current = seed; current < seed + seeds; current++) {
      Scenario scenario = Scenario.generate(Preset.of(preset), current);
      PolicyMetrics metrics = new FleetSimulator(scenario, policy).run();
      runs.add(metrics);
      Map<String, Integer> violations = metrics.auditor.violations();
      progress.printf(
          Locale.ROOT,
          "%s seed %d: %d jobs, %d unfinished, plan p99 %.2f ms, violations %s%n",
          policy.name(),
          current,
          scenario.jobs().size(),
          metrics.unfinishedJobs,
          PolicyResult.percentile(metrics.planMillis),
          violations);
    }
    return PolicyResult.of(policy.name(), runs);
  }

  private static void printTable(PrintStream output, List<PolicyResult> results) {
    output.println(
        "| policy | completion mean s | completion p99 s | urgent start p99 s "
            + "| largest gang wait p99 s | fragmentation | work during domain change "
            + "| lost accelerator hours | promises broken |");
    output.println("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (PolicyResult result : results) {
      output.printf(
          Locale.ROOT,
          "| %s | %.1f | %.1f | %.2f | %.1f | %.4f | %.4f | %.2f | %d |%n",
          result.name(),
          result.completionMeanSeconds(),
          result.completionP99Seconds(),
          result.urgentStartP99Seconds(),
          result.largeGangWaitP99Seconds(),
          result.fragmentation(),
          result.workDuringDomainChange(),
          result.lostAcceleratorHours(),
          result.promisesBroken());
    }
  }
}
