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
 * Lets random faults come over a small deployment under load, and looks for doubled, lost, and late
 * work in what the callers and the workers saw.
 */
public final class FaultsMain {
  private static final List<String> DOMAINS = List.of("salamanca", "glenorchy", "kingston");
  private static final int INSTANCES = 7;
  private static final int WORKERS_PER_DOMAIN = 10;
  private static final int REQUESTS_PER_ROUND = 20;
  private static final Duration REST_TIME = Duration.ofSeconds(4);
  private static final Duration END_LIMIT = Duration.ofSeconds(90);

  /** How long after a take-out a task may still start there, in milliseconds. */
  private static final long LATE_MILLIS = 5_000;

  @Option(name = "--seed", usage = "seed of the faults")
  private long seed = 1;

  @Option(name = "--minutes", usage = "how long faults come, in minutes")
  private double minutes = 1;

  @Option(name = "--fault-seconds", usage = "how long each fault lasts, in seconds")
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
   * Runs the faults; the exit status is 0 only where nothing was doubled, lost, late, reverted, or
   * unsound.
   */
  @SuppressWarnings("SystemOut") // The result goes to whoever runs the tool.
  public static void main(String[] arguments) throws InterruptedException {
    FaultsMain main = new FaultsMain();
    ToolArguments.read(main, arguments);
    Result result = main.run();
    System.out.println(main.json ? JsonCodec.text(result) : result.toString());
    System.exit(result.clean() ? 0 : 1);
  }

  /** Lets the faults come, and returns what was seen once all is healed. */
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
        world.deployment().heal();
        Thread.sleep(REST_TIME);
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
      case FREEZE -> deployment.instance(instance).freeze();
      case CUT -> deployment.relay(instance).set(Relay.Mode.CUT);
      case LOG_STOPPED -> deployment.platform().change(PlatformFaults.stop(true));
      case LOG_SLOW -> deployment.platform().change(PlatformFaults.delay(400));
      case ANSWERS_LOST -> deployment.platform().change(PlatformFaults.loseAnswers(5));
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
      Thread.sleep(LATE_MILLIS + faultSeconds * 1_000);
      long backAt = System.currentTimeMillis();
      world.operator().bringBack(domain);
      lateStarts += startsBetween(world, domain, outAt + LATE_MILLIS, backAt);
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
    Instant limit = Instant.now().plus(END_LIMIT);
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
    checker.noPartGang(world.membersByJob());
    checker.attemptsApart();
    checker.answeredWereRun();
    List<SentRequest> sent = world.sent();
    int answered = (int) sent.stream().filter(each -> each.code() == ResultCode.OK).count();
    int lost = checker.wrong().size() + checker.falselyRefused().size() + unfinished;
    LogChecker log = world.logChecker();
    Set<String> doubled = new HashSet<>(checker.doubled());
    doubled.addAll(log.requestsRunTwice());
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

  /** The faults that can come. */
  private enum Fault {
    FREEZE,
    CUT,
    LOG_STOPPED,
    LOG_SLOW,
    ANSWERS_LOST,
    DOMAIN_OUT
  }

  /**
   * What was seen.
   *
   * @param lost wrong answers, requests that ran after they were refused as not run, and accepted
   *     jobs that did not end well
   * @param late tasks that started in a failure domain that was out
   * @param reverted records of the log after which the configuration was older
   * @param unsound records of the log that took effect and must not have
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
