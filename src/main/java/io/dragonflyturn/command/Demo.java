package io.dragonflyturn.command;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.JobStatus;
import io.dragonflyturn.Request;
import io.dragonflyturn.RequestAnswer;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.logging.LogSetup;
import io.dragonflyturn.internal.settings.LogFormat;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The {@code demo} command: runs a small deployment in this process, submits jobs and requests,
 * takes a failure domain out of service and brings it back, and reports the result.
 */
final class Demo extends Command {
  private static final Duration TIME_LIMIT = Duration.ofSeconds(50);
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(200);
  private static final Duration LEAVE_WITHIN = Duration.ofSeconds(2);
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final int SMALL_JOB_COUNT = 24;
  private static final int BOOKING_COUNT = 40;

  private final DemoSampler sampler = new DemoSampler();
  private final DemoChecks checks = new DemoChecks();
  private final Set<String> nonIdempotentRequestIds = new HashSet<>();
  private int requestCount;

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "demo",
            "Runs a small deployment in one process and shows what it did, in under a minute.",
            List.of(
                "# See it work",
                "dragonflyturn demo",
                "# The same as JSON; the exit status is not 0 if a guarantee was violated",
                "dragonflyturn demo --json"),
            new CommandBody.Parsed(Demo::new)));
  }

  @Override
  int run(CommandContext context) {
    LogSetup.apply(LogFormat.TEXT);
    PrintStream progress = context.errors();
    InstantSource clock = context.clock();
    long startedAt = clock.millis();
    try (DemoDeployment deployment = new DemoDeployment()) {
      progress.println("Starting a platform, 12 workers in 2 failure domains, 3 instances...");
      deployment.start();
      DemoResult result = run(deployment, progress, clock, startedAt);
      new CommandOutput(context.output(), json()).print(result, result.table());
      result.broken().forEach(progress::println);
      return result.promisesBroken() == 0 ? 0 : ResultCode.INTERNAL_ERROR.exitStatus();
    }
  }

  private DemoResult run(
      DemoDeployment deployment, PrintStream progress, InstantSource clock, long startedAt) {
    try (Dragonflyturn customer =
            Dragonflyturn.connect(deployment.entries(), DemoDeployment.CUSTOMER_TOKEN);
        Dragonflyturn operator =
            Dragonflyturn.connect(deployment.entries(), DemoDeployment.OPERATOR_TOKEN)) {
      configure(operator, progress, clock);
      final List<String> jobs = submit(customer, progress);
      sendRequests(customer, progress, clock);
      sampleFor(customer, Duration.ofSeconds(2), "", clock);

      progress.println("Taking " + DemoDeployment.SECOND_DOMAIN + " out...");
      final long takenOutAt = clock.millis();
      operator.takeOut(DemoDeployment.SECOND_DOMAIN, LEAVE_WITHIN, false);
      jobs.add(submitOne(customer, jobSpecification("after-take-out", 1, 4, Urgency.NORMAL, 1)));
      sendRequests(customer, progress, clock);
      sampleFor(customer, Duration.ofSeconds(6), DemoDeployment.SECOND_DOMAIN, clock);

      progress.println("Bringing " + DemoDeployment.SECOND_DOMAIN + " back...");
      final long broughtBackAt = clock.millis();
      operator.bringBack(DemoDeployment.SECOND_DOMAIN);
      List<JobStatus> ended = awaitJobs(customer, progress, clock, startedAt);

      checks.checkJobs(ended);
      checks.checkSingleExecution(deployment.histories(), nonIdempotentRequestIds);
      checks.checkNoStartWhileTakenOut(
          deployment.histories(), DemoDeployment.SECOND_DOMAIN, takenOutAt, broughtBackAt);
      return result(ended, (clock.millis() - startedAt) / MILLIS_PER_SECOND);
    }
  }

  private static void configure(Dragonflyturn operator, PrintStream progress, InstantSource clock) {
    List<FailureDomain> domains = new ArrayList<>();
    for (String name : List.of(DemoDeployment.FIRST_DOMAIN, DemoDeployment.SECOND_DOMAIN)) {
      domains.add(
          new FailureDomain(
              name, "tasmania", ServiceState.IN_SERVICE, clock.millis(), 0, Map.of()));
    }
    Customer customer =
        new Customer(DemoDeployment.CUSTOMER, List.of(new Shape(2, 8, Span.RACK)), 0, Map.of());
    Configuration configuration =
        new Configuration(List.of(customer), domains, Map.of(), List.of());
    awaitWorkers(operator, clock);
    long version = operator.apply(operator.configuration().version(), configuration);
    progress.println("Configuration version " + version + " is in force.");
  }

  private static void awaitWorkers(Dragonflyturn operator, InstantSource clock) {
    long deadline = clock.millis() + TIME_LIMIT.toMillis();
    int expected = 2 * DemoDeployment.WORKERS_PER_DOMAIN;
    while (clock.millis() < deadline) {
      try {
        if (operator.summary().path("workers").asInt() == expected) {
          return;
        }
      } catch (DragonflyturnException notReady) {
        // The instances are still reading the log; try again.
      }
      awaitNextSample();
    }
    throw new DragonflyturnException(
        ResultCode.PEER_UNREACHABLE, "The workers of the demo were not listed in time.");
  }

  private List<String> submit(Dragonflyturn customer, PrintStream progress) {
    List<String> jobs = new ArrayList<>();
    for (int index = 0; index < SMALL_JOB_COUNT; index++) {
      jobs.add(
          submitOne(
              customer, jobSpecification("small-" + index, 1, 1 + index % 4, Urgency.NORMAL, 3)));
    }
    jobs.add(submitOne(customer, jobSpecification("gang", 6, 8, Urgency.NORMAL, 3)));
    jobs.add(submitOne(customer, jobSpecification("urgent", 1, 8, Urgency.URGENT, 1)));
    progress.println(
        "Submitted " + jobs.size() + " jobs, a gang of 6 x 8 accelerators among them.");
    return jobs;
  }

  private String submitOne(Dragonflyturn customer, JobSpecification job) {
    sampler.recordSubmission(job);
    return customer.submit(job);
  }

  private static JobSpecification jobSpecification(
      String id, int members, int accelerators, Urgency urgency, int seconds) {
    Span span = members == 1 ? Span.WORKER : Span.REGION;
    return new JobSpecification(
        id,
        DemoDeployment.CUSTOMER,
        new Shape(members, accelerators, span),
        urgency,
        true,
        true,
        seconds,
        Map.of("work-seconds", String.valueOf(seconds)));
  }

  private void sendRequests(Dragonflyturn customer, PrintStream progress, InstantSource clock) {
    List<String> issued = customer.issueRequestIds(BOOKING_COUNT / 2);
    for (int index = 0; index < BOOKING_COUNT; index++) {
      Request request = Request.booking(clock.instant(), "pitch " + index);
      send(customer, index % 2 == 0 ? request : request.withIssuedId(issued.get(index / 2)));
    }
    Request inspectionRequest = Request.inspection(clock.instant(), "blank");
    send(customer, inspectionRequest);
    progress.println("Sent " + BOOKING_COUNT + " urgent bookings and an inspection.");
  }

  private void send(Dragonflyturn customer, Request request) {
    RequestAnswer answer = customer.send(request);
    checks.checkAnswer(request.id(), answer.answer());
    nonIdempotentRequestIds.add(request.id());
    requestCount++;
  }

  private void sampleFor(
      Dragonflyturn customer, Duration period, String takenOutDomain, InstantSource clock) {
    long until = clock.millis() + period.toMillis();
    while (clock.millis() < until) {
      sampler.sample(customer.jobs(), takenOutDomain);
      awaitNextSample();
    }
  }

  private List<JobStatus> awaitJobs(
      Dragonflyturn customer, PrintStream progress, InstantSource clock, long startedAt) {
    long ended = -1;
    while (true) {
      List<JobStatus> jobs = customer.jobs();
      sampler.sample(jobs, "");
      long currentlyEnded = jobs.stream().filter(JobStatus::ended).count();
      if (currentlyEnded != ended) {
        ended = currentlyEnded;
        progress.println(ended + " of " + jobs.size() + " jobs have ended.");
      }
      boolean overdue = clock.millis() - startedAt > TIME_LIMIT.toMillis();
      if (ended == jobs.size() || overdue) {
        return jobs;
      }
      awaitNextSample();
    }
  }

  private DemoResult result(List<JobStatus> jobs, double seconds) {
    double[] completionSeconds =
        jobs.stream()
            .mapToDouble(job -> seconds(job.submittedAtMillis(), job.endedAtMillis()))
            .sorted()
            .toArray();
    List<String> violations = checks.violations();
    return new DemoResult(
        violations.size(),
        violations,
        jobs.size(),
        requestCount,
        Arrays.stream(completionSeconds).average().orElse(0),
        completionSeconds[(int) Math.ceil(completionSeconds.length * 0.99) - 1],
        startDelaySeconds(jobs, "urgent"),
        startDelaySeconds(jobs, "gang"),
        sampler.fragmentation(),
        sampler.utilizationDuringChange(),
        seconds);
  }

  private static double startDelaySeconds(List<JobStatus> jobs, String jobId) {
    return jobs.stream()
        .filter(job -> job.jobId().equals(jobId))
        .mapToDouble(job -> seconds(job.submittedAtMillis(), job.firstStartedAtMillis()))
        .findFirst()
        .orElse(-1);
  }

  private static double seconds(long fromMillis, long toMillis) {
    return (toMillis - fromMillis) / MILLIS_PER_SECOND;
  }

  private static void awaitNextSample() {
    try {
      Thread.sleep(SAMPLE_INTERVAL);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("The demo was interrupted", interrupted);
    }
  }
}
