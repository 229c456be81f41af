package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.DispatchFixture.Instance;
import io.dragonflyturn.internal.dispatch.DisturbedGateway.Kind;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One random order of events around workers that start again under their identifiers, after which
 * everything heals. A seed gives the same events each time.
 */
final class RestartOrdersPlay {
  private static final long LONG_MAXIMUM_LEASE_MILLIS = 10_000;
  private static final long SHORT_MAXIMUM_LEASE_MILLIS = 6_000;
  private static final long ELECTION_MILLIS = 2_500;
  private static final long LONGEST_DELAY_MILLIS = 12_000;
  private static final long LONGEST_WORK_MILLIS = 15_000;
  private static final long LONGEST_UPTIME_MILLIS = 600_000;
  private static final int CRASH_PERCENT = 30;
  private static final long HEALED_STEP_MILLIS = 1_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long SHORT_WORK_MILLIS = 1_000;

  /**
   * How long a job may take that is submitted after a worker has crashed, while the others are
   * idle: from then on, no job may be without a run.
   */
  private static final long PLACED_AGAIN_MILLIS = 14_000;

  /**
   * How long all jobs may take once everything has healed: for orders that are still held back, for
   * leases that have to end, and for two runs one after the other.
   */
  private static final long COMPLETION_MILLIS =
      LONGEST_DELAY_MILLIS + 2 * LONG_MAXIMUM_LEASE_MILLIS + 2 * LONGEST_WORK_MILLIS;

  private final Random random;
  private final Mix mix;
  private final DispatchFixture fixture = new DispatchFixture(false);
  private final List<Instance> instances = new ArrayList<>();
  private final List<String> workers = new ArrayList<>();
  private final List<String> jobs = new ArrayList<>();
  private final List<String> history = new ArrayList<>();
  private final List<String> waiting = new ArrayList<>();
  private int submitted;
  private boolean healed;

  RestartOrdersPlay(long seed, Mix mix) {
    this.mix = mix;
    random = new Random(seed);
    fixture.workers.audit.setObserver(this::record);
    fixture.orders.setObserver(this::record);
  }

  /** Which events a play draws from. */
  enum Mix {
    /** Workers that start again at once, and whose registration is late. */
    RESTARTS,
    /** In addition, workers that crash, leave the list, and may be back under their identifiers. */
    CRASHES
  }

  /**
   * What a play violated.
   *
   * @param simultaneousRuns tasks that ran twice at the same time
   * @param startsOfDoneTasks tasks that started after their done end had been acknowledged
   * @param byLateStarts both of these, where the start that did it was sent to one life of a worker
   *     and carried out in a later one, or the run beside it began after a later run had begun
   * @param incomplete jobs that were accepted and have not completed
   * @param waiting jobs that waited for a crashed worker for too long, beside idle ones
   */
  record Violations(
      List<String> simultaneousRuns,
      List<String> startsOfDoneTasks,
      List<String> byLateStarts,
      List<String> incomplete,
      List<String> waiting) {
    boolean isEmpty() {
      return simultaneousRuns.isEmpty()
          && startsOfDoneTasks.isEmpty()
          && byLateStarts.isEmpty()
          && incomplete.isEmpty()
          && waiting.isEmpty();
    }
  }

  /** Plays the events. */
  Violations play() {
    setUp();
    int events = between(6, 18);
    for (int event = 0; event < events; event++) {
      playEvent();
      fixture.advance(pauseMillis());
    }
    heal();
    waitForCompletion();
    if (mix == Mix.CRASHES && areAllCompleted()) {
      placeOnCrashedWorker();
    }
    return violations();
  }

  private Violations violations() {
    List<String> byLateStarts = new ArrayList<>(fixture.orders.violationsInLaterLives());
    List<String> others = new ArrayList<>(fixture.workers.violations());
    byLateStarts.forEach(others::remove);
    fixture.workers.violations().stream()
        .filter(each -> each.endsWith(FakeAudit.RUNS_BESIDE_LATE_RUN))
        .filter(others::remove)
        .forEach(byLateStarts::add);
    return new Violations(
        others.stream().filter(each -> each.endsWith(FakeAudit.RUNS_TWICE)).toList(),
        others.stream().filter(each -> !each.endsWith(FakeAudit.RUNS_TWICE)).toList(),
        byLateStarts,
        jobs.stream().filter(job -> !isCompleted(job)).toList(),
        waiting);
  }

  /** Returns the events so far, one a line, with their times. */
  String history() {
    return String.join("\n", history);
  }

  /** Writes the events that the instances logged. */
  void printEvents() {
    fixture.printEvents();
  }

  private void setUp() {
    boolean longLeases = chance(80);
    fixture.setMaximumLeaseMillis(
        longLeases ? LONG_MAXIMUM_LEASE_MILLIS : SHORT_MAXIMUM_LEASE_MILLIS);
    int count = between(2, 3);
    for (int number = 1; number <= count; number++) {
      String worker = "w" + number;
      workers.add(worker);
      fixture.workers.add(worker);
      fixture.workers.restart(worker, between(0, LONGEST_UPTIME_MILLIS), clockRate());
    }
    instances.add(fixture.instance("first"));
    instances.add(fixture.instance("second"));
    fixture.advance(ELECTION_MILLIS);
    submit();
  }

  private void playEvent() {
    if (mix == Mix.CRASHES && chance(CRASH_PERCENT)) {
      crash(worker());
      return;
    }
    int choice = random.nextInt(100);
    if (choice < 17) {
      submit();
    } else if (choice < 34) {
      restart(worker());
    } else if (choice < 43) {
      cutOff(worker());
    } else if (choice < 73) {
      disturb(worker());
    } else if (choice < 80) {
      cutOffLeader();
    } else if (choice < 84) {
      drain(worker());
    } else if (choice < 87) {
      unregister(worker());
    } else if (choice < 99) {
      restartUnderWork(worker());
    } else {
      loseStoreAnswers();
    }
  }

  private void submit() {
    submitted++;
    String job = "j" + submitted;
    int tasks = between(1, 3);
    boolean gang = tasks > 1 && chance(30);
    long workMillis = chance(60) ? between(4_000, LONGEST_WORK_MILLIS) : between(1, 1_500);
    fixture.workers.setWorkMillis(job + ".0.0", workMillis);
    if (gang) {
      fixture.workers.setGang(job + ".0.0", tasks);
    }
    record(
        "submit " + job + ": " + (gang ? "gang of " : "") + tasks + ", each " + workMillis + " ms");
    StepSpecification step = gang ? DispatchFixture.gang(tasks) : DispatchFixture.tasks(tasks);
    fixture
        .sendSubmission("customer", job, between(1, 3), step)
        .thenAccept(result -> submissionAnswered(job, result));
  }

  private void submissionAnswered(String job, WriteResult result) {
    if (result == WriteResult.STORED) {
      jobs.add(job);
    } else {
      record("submission of " + job + ": " + result);
    }
  }

  /** Restarts a worker, places work before the leader may know it, and cuts the worker off. */
  private void restartUnderWork(String worker) {
    restart(worker);
    fixture.advance(between(1, 1_000));
    submit();
    fixture.advance(between(1, 700));
    cutOff(worker);
  }

  private void restart(String worker) {
    fixture.registry.withhold(worker);
    fixture.workers.restart(worker, between(0, chance(70) ? 0 : 300_000), clockRate());
    long incarnation = fixture.workers.registration(worker).incarnation();
    int choice = random.nextInt(100);
    long delayMillis = choice < 25 ? 0 : choice < 60 ? between(50, 900) : between(1_000, 4_000);
    boolean told = choice < 80;
    record(
        worker
            + " restarts as life "
            + incarnation
            + ", its clock at "
            + fixture.workers.registration(worker).clockMillis()
            + (told ? ", registered after " + delayMillis + " ms" : ", not registered"));
    if (told) {
      later(delayMillis, () -> register(worker, incarnation));
    }
  }

  /** Ends a worker, whose registration lapses, and starts it again some time later. */
  private void crash(String worker) {
    boolean refuses = chance(30);
    final long lapseMillis = between(2 * HEARTBEAT_MILLIS, 3 * HEARTBEAT_MILLIS);
    final long downMillis = between(200, LONGEST_DELAY_MILLIS);
    record(worker + " crashes for " + downMillis + " ms" + (refuses ? ", refusing" : ""));
    fixture.registry.withhold(worker);
    fixture.workers.crash(worker, refuses);
    long incarnation = fixture.workers.registration(worker).incarnation();
    later(lapseMillis, () -> lapse(worker, incarnation));
    later(downMillis, () -> boot(worker, incarnation));
  }

  private boolean isStillDown(String worker, long incarnation) {
    return fixture.workers.isDown(worker)
        && fixture.workers.registration(worker).incarnation() == incarnation;
  }

  private void lapse(String worker, long incarnation) {
    if (isStillDown(worker, incarnation)) {
      record(worker + " has left the list");
      fixture.unregister(worker);
    }
  }

  private void boot(String worker, long incarnation) {
    if (!isStillDown(worker, incarnation)) {
      return;
    }
    fixture.workers.restart(worker, between(0, chance(70) ? 0 : 300_000), clockRate());
    long booted = fixture.workers.registration(worker).incarnation();
    long delayMillis = chance(60) ? 0 : between(20, 300);
    record(worker + " boots as life " + booted + ", registered after " + delayMillis + " ms");
    later(delayMillis, () -> register(worker, booted));
  }

  /**
   * Crashes a worker for good while all are idle, and submits a task for each worker before the
   * registration has lapsed.
   */
  private void placeOnCrashedWorker() {
    fixture.advance(LONGEST_DELAY_MILLIS);
    String crashed = worker();
    boolean refuses = chance(30);
    record(crashed + " crashes for good" + (refuses ? ", refusing" : ""));
    fixture.registry.withhold(crashed);
    fixture.workers.crash(crashed, refuses);
    fixture.loop.schedule(
        () -> fixture.unregister(crashed),
        between(2 * HEARTBEAT_MILLIS, 3 * HEARTBEAT_MILLIS),
        TimeUnit.MILLISECONDS);
    fixture.advance(between(0, 2 * HEARTBEAT_MILLIS));
    fixture.workers.setWorkMillis("last.0.0", SHORT_WORK_MILLIS);
    StepSpecification step = DispatchFixture.step(workers.size(), false, FakeWorkers.CAPACITY);
    fixture.submit("last", 1, step);
    fixture.advance(PLACED_AGAIN_MILLIS);
    if (!isCompleted("last")) {
      waiting.add("last");
    }
  }

  private void register(String worker, long incarnation) {
    if (fixture.workers.isDown(worker)) {
      return;
    }
    if (fixture.workers.registration(worker).incarnation() == incarnation) {
      record(worker + " is registered, life " + incarnation);
      fixture.reportWorker(worker);
    }
  }

  private void cutOff(String worker) {
    long millis = between(500, 12_000);
    record(worker + " is cut off for " + millis + " ms");
    fixture.workers.disconnect(worker);
    later(millis, () -> reconnect(worker));
  }

  private void reconnect(String worker) {
    record(worker + " is reconnected");
    fixture.workers.reconnect(worker);
  }

  private void disturb(String worker) {
    int choice = random.nextInt(100);
    Kind kind = choice < 55 ? Kind.START : choice < 90 ? Kind.POLL : Kind.STOP;
    if (chance(65)) {
      fixture.orders.holdBack(
          kind, worker, chance(50) ? between(100, 2_500) : between(2_500, LONGEST_DELAY_MILLIS));
    } else {
      fixture.orders.loseAnswer(kind, worker);
    }
  }

  private void cutOffLeader() {
    Instance leader =
        instances.stream()
            .filter(each -> each.dispatcher.isLeading())
            .findFirst()
            .orElse(instances.getFirst());
    boolean wholly = chance(50);
    long millis = between(500, 15_000);
    record(
        leader.name
            + " is cut off from the store"
            + (wholly ? " and the workers" : "")
            + " for "
            + millis
            + " ms");
    if (wholly) {
      leader.disconnect();
    } else {
      leader.disconnectFromStore();
    }
    later(millis, leader::reconnect);
  }

  private void drain(String worker) {
    long remainingMillis = between(500, 8_000);
    record(worker + " drains for " + remainingMillis + " ms");
    fixture.drain(worker, remainingMillis);
    later(remainingMillis, () -> restart(worker));
  }

  private void unregister(String worker) {
    long millis = between(300, 5_000);
    record(worker + " is not registered for " + millis + " ms");
    fixture.unregister(worker);
    later(millis, () -> register(worker, fixture.workers.registration(worker).incarnation()));
  }

  private void loseStoreAnswers() {
    record("the store loses the next answer");
    fixture.store.loseAnswers(1);
  }

  private void heal() {
    healed = true;
    record("everything heals");
    fixture.orders.calm();
    fixture.store.loseAnswers(0);
    workers.forEach(fixture.workers::reconnect);
    workers.stream().filter(fixture.workers::isDown).forEach(fixture.workers::restart);
    instances.forEach(Instance::reconnect);
    fixture.reportWorkers();
  }

  /** Waits until all jobs have completed and no order is held back any more. */
  private void waitForCompletion() {
    long waitedMillis = 0;
    while (waitedMillis < COMPLETION_MILLIS
        && (waitedMillis <= LONGEST_DELAY_MILLIS || !areAllCompleted())) {
      fixture.advance(HEALED_STEP_MILLIS);
      waitedMillis += HEALED_STEP_MILLIS;
    }
  }

  private boolean areAllCompleted() {
    return jobs.stream().allMatch(this::isCompleted);
  }

  private boolean isCompleted(String job) {
    return instances.stream().allMatch(each -> each.state(job) == JobState.COMPLETED);
  }

  /** Plays something later, unless everything has healed by then. */
  private void later(long delayMillis, Runnable action) {
    fixture.loop.schedule(
        () -> {
          if (!healed) {
            action.run();
          }
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  private void record(String event) {
    history.add(String.format("%6d ms  %s", fixture.loop.millis(), event));
  }

  private String worker() {
    List<String> running =
        workers.stream().filter(worker -> !fixture.workers.isDown(worker)).toList();
    List<String> choice = running.isEmpty() ? workers : running;
    return choice.get(random.nextInt(choice.size()));
  }

  private long pauseMillis() {
    int choice = random.nextInt(100);
    return choice < 50 ? between(1, 60) : choice < 80 ? between(60, 900) : between(900, 5_000);
  }

  private double clockRate() {
    return chance(50) ? 1 : 0.98;
  }

  private boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  private int between(int least, int most) {
    return random.nextInt(least, most + 1);
  }

  private long between(long least, long most) {
    return random.nextLong(least, most + 1);
  }
}
