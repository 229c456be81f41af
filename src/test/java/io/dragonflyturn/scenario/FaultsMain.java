package io.dragonflyturn.scenario;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.Request;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.standin.PlatformFaults;
import io.dragonflyturn.standin.ToolArguments;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.kohsuke.args4j.Option;

/**
 * Injects random faults into a small deployment under load. Checks the results of the callers, the
 * worker histories, and the log for duplicated, lost, and late work.
 */
public final class FaultsMain {
  private static final List<String> DOMAINS = List.of("salamanca", "glenorchy", "kingston");
  private static final int INSTANCES = 7;
  private static final int WORKERS_PER_DOMAIN = 10;
  private static final int REQUESTS_PER_ROUND = 20;
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(4);
  private static final Duration JOB_TIMEOUT = Duration.ofSeconds(90);

  /** Time after a take-out in which tasks may still start in the failure domain. */
  private static final long START_BOUND_MILLIS = 5_000;

  @Option(name = "--seed", usage = "random seed")
  private long seed = 1;

  @Option(name = "--minutes", usage = "duration of the fault injection, in minutes")
  private double minutes = 1;

  @Option(name = "--fault-seconds", usage = "duration of each fault, in seconds")
  private long faultSeconds = 20;

  @Option(name = "--json", usage = "print one JSON object")
  private boolean json;

  private final FaultJobs jobs = new FaultJobs();
  private int faults;
  private int lateStarts;

  private FaultsMain() {}

  FaultsMain(long seed, double minutes, long faultSeconds) {
    this.seed = seed;
    this.minutes = minutes;
    this.faultSeconds = faultSeconds;
  }

  /**
   * Runs the fault injection and prints the result. The exit status is 0 only if no work was
   * duplicated, lost, or late, and no record of the log was reverted or invalid.
   */
  @SuppressWarnings("SystemOut") // The tool prints its result.
  public static void main(String[] arguments) throws InterruptedException {
    FaultsMain main = new FaultsMain();
    ToolArguments.read(main, arguments);
    Result result = main.run();
    System.out.println(main.json ? JsonCodec.text(result) : result.toString());
    System.exit(result.clean() ? 0 : 1);
  }

  /** Injects faults one after another, and returns the result after all of them are cleared. */
  Result run() throws InterruptedException {
    Random random = new Random(seed);
    try (ScenarioWorld world = new ScenarioWorld()) {
      world.deploy(INSTANCES, WORKERS_PER_DOMAIN, DOMAINS, 0);
      Instant until = Instant.now().plusMillis((long) (minutes * 60_000));
      while (Instant.now().isBefore(until)) {
        load(world);
        Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        int instance = 1 + random.nextInt(INSTANCES);
        begin(world, fault, instance);
        load(world);
        Thread.sleep(Duration.ofSeconds(faultSeconds));
        world.deployment().clearFaults();
        Thread.sleep(RECOVERY_TIME);
      }
      jobs.close();
      int unfinished = awaitJobs(world);
      return result(world, unfinished);
    }
  }

  private void begin(ScenarioWorld world, Fault fault, int instance) {
    faults++;
    Deployment deployment = world.deployment();
    switch (fault) {
      case SUSPENDED -> deployment.instance(instance).freeze();
      case LOG_DISCONNECTED -> deployment.relay(instance).set(Relay.Mode.CUT);
      case LOG_STOPPED -> deployment.platform().change(PlatformFaults.stop(true));
      case LOG_SLOW -> deployment.platform().change(PlatformFaults.delay(400));
      case RESPONSES_LOST -> deployment.platform().change(PlatformFaults.loseAnswers(5));
      case DOMAIN_OUT -> domainOutAndBack(world);
      default -> throw new IllegalStateException(fault.toString());
    }
  }

  private void domainOutAndBack(ScenarioWorld world) {
    String domain = DOMAINS.getFirst();
    long outAt = System.currentTimeMillis();
    try {
      world.operator().takeOut(domain, Duration.ofSeconds(2), false);
      load(world);
      Thread.sleep(START_BOUND_MILLIS + faultSeconds * 1_000);
      long backAt = System.currentTimeMillis();
      world.operator().bringBack(domain);
      lateStarts += startsBetween(world, domain, outAt + START_BOUND_MILLIS, backAt);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static int startsBetween(
      ScenarioWorld world, String domain, long fromMillis, long untilMillis) {
    return (int)
        world.deployment().histories().stream()
            .filter(history -> history.failureDomain().equals(domain))
            .flatMap(history -> history.tasks().stream())
            .filter(run -> run.startMillis() > fromMillis && run.startMillis() < untilMillis)
            .count();
  }

  private void load(ScenarioWorld world) {
    for (int index = 0; index < REQUESTS_PER_ROUND; index++) {
      Request booking = Request.booking(Instant.now(), "pitch " + index);
      world.send(world.customer(), index % 2 == 0 ? booking : Request.reading(Instant.now(), "c"));
    }
    world.membersByJob().put(jobs.submit(world.customer()), FaultJobs.MEMBERS);
  }

  private int awaitJobs(ScenarioWorld world) throws InterruptedException {
    Instant limit = Instant.now().plus(JOB_TIMEOUT);
    while (true) {
      int unfinished = unfinished(world);
      if (unfinished == 0 || Instant.now().isAfter(limit)) {
        return unfinished;
      }
      Thread.sleep(Duration.ofMillis(500));
    }
  }

  private int unfinished(ScenarioWorld world) {
    try {
      return jobs.unfinished(world.customer().jobs()).size();
    } catch (DragonflyturnException unavailable) {
      return Integer.MAX_VALUE;
    }
  }

  private Result result(ScenarioWorld world, int unfinished) {
    HistoryChecker checker = world.checker();
    checker.assertNoIncompleteGangs(world.membersByJob());
    checker.assertAttemptsDoNotOverlap();
    checker.assertAnsweredRequestsRan();
    List<SentRequest> sent = world.sent();
    int answered = (int) sent.stream().filter(each -> each.code() == ResultCode.OK).count();
    int lost = checker.mismatchedAnswers().size() + checker.refusedButRun().size() + unfinished;
    LogChecker log = world.logChecker();
    Set<String> doubled = new HashSet<>(checker.duplicateRuns());
    doubled.addAll(log.duplicatedRequests());
    int late = Math.max(lateStarts, log.lateStarts().size());
    int reverted = log.reverted().size();
    int unsound = log.decisions().count();
    return new Result(
        seed,
        sent.size(),
        answered,
        jobs.acceptedCount(),
        faults,
        doubled.size(),
        lost,
        late,
        reverted,
        unsound,
        log.coverage());
  }

  /** Faults to choose from at random. */
  private enum Fault {
    SUSPENDED,
    LOG_DISCONNECTED,
    LOG_STOPPED,
    LOG_SLOW,
    RESPONSES_LOST,
    DOMAIN_OUT
  }

  /**
   * Result of a run.
   *
   * @param seed the random seed
   * @param requests the number of requests sent
   * @param answered the number of requests that succeeded
   * @param jobs the number of accepted jobs
   * @param faults the number of injected faults
   * @param doubled the number of non-idempotent requests that ran more than once
   * @param lost the number of mismatched answers, of requests that ran after they were refused as
   *     not run, and of accepted jobs that did not complete
   * @param late the number of tasks that started in a failure domain that was out of service
   * @param reverted the number of log records after which the configuration version was lower
   * @param unsound the number of accepted log records that violate an invariant
   * @param log the part of the log that was checked
   */
  record Result(
      long seed,
      int requests,
      int answered,
      int jobs,
      int faults,
      int doubled,
      int lost,
      int late,
      int reverted,
      int unsound,
      String log) {
    boolean clean() {
      return doubled == 0 && lost == 0 && late == 0 && reverted == 0 && unsound == 0;
    }
  }
}
