package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.EndedTask;
import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Reason;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.RunningTask;
import io.dragonflyturn.internal.fleet.StartOrder;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongUnaryOperator;

/**
 * In-memory workers that implement fencing, leases, and the listing of ended runs, and that can be
 * disconnected.
 */
final class FakeWorkers implements WorkerGateway {
  static final Resources CAPACITY = new Resources(32_000, 65_536, 8);

  private static final long ANSWER_DELAY_MILLIS = 2;
  private static final long FAILURE_DELAY_MILLIS = 40;
  private static final long ORDER_TIMEOUT_MILLIS = 500;
  private static final long POLL_TIMEOUT_MARGIN_MILLIS = 800;
  private static final int LISTED_ENDS = 500;
  private static final long GANG_WAIT_MILLIS = 3_000;

  private final ManualLoop loop;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Set<String> disconnected = new HashSet<>();
  private final Set<String> failing = new HashSet<>();
  private final Set<String> failingAllRuns = new HashSet<>();
  private final Map<String, Integer> gangSizes = new HashMap<>();
  private final Set<String> assembledGangs = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Long> slowAnswerMillis = new HashMap<>();
  private final Map<String, Long> heldBackMillis = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Set<String> finishedEarly = new HashSet<>();
  private final Set<String> acknowledgedDone = new HashSet<>();
  private final Map<String, Double> speeds = new HashMap<>();
  private final Map<String, Integer> tasksStarted = new HashMap<>();
  private LongUnaryOperator workByStart = start -> 3_000;
  private long runsStarted;
  private int answersToLose;
  private long startDelayMillis;
  private long unhealthyUntilMillis;
  private int stoppedRuns;
  private int runsToStall;
  private long sendMillis;
  private long sendingUntilMillis;
  private int unansweredOrders;
  private int runsAlone;
  private String checkpoint = "";
  private long maximumLeaseMillis = 6_000;

  FakeWorkers(ManualLoop loop) {
    this.loop = loop;
  }

  void add(String id) {
    workers.put(id, new Worker(id, 1));
  }

  Set<String> ids() {
    return Set.copyOf(workers.keySet());
  }

  List<WorkerRegistration> registrations() {
    return workers.keySet().stream().map(this::registration).toList();
  }

  WorkerRegistration registration(String id) {
    return new WorkerRegistration(
        id,
        worker(id).incarnation,
        "service",
        id + ":1",
        "north",
        List.of("a", "r1"),
        CAPACITY,
        false,
        0,
        0,
        worker(id).clock());
  }

  WorkerRegistration drainingRegistration(String id, long remainingMillis) {
    return new WorkerRegistration(
        id,
        worker(id).incarnation,
        "service",
        id + ":1",
        "north",
        List.of("a", "r1"),
        CAPACITY,
        true,
        remainingMillis,
        0,
        worker(id).clock());
  }

  /** Sets the longest lease that workers accept; they shorten a longer one. */
  void setMaximumLeaseMillis(long millis) {
    maximumLeaseMillis = millis;
  }

  void setWorkMillis(long millis) {
    workByStart = start -> millis;
  }

  /**
   * Sets how long a run takes on a worker of speed 1.
   *
   * @param millis returns the run time of a run by its number, counted from 0 in order of the
   *     starts
   */
  void setWorkMillis(LongUnaryOperator millis) {
    workByStart = millis;
  }

  /** Sets how fast a worker runs tasks; 0.5 takes twice as long as the usual 1. */
  void setSpeed(String id, double speed) {
    speeds.put(id, speed);
  }

  /** Returns how many tasks a worker has started. */
  int tasksStarted(String id) {
    return tasksStarted.getOrDefault(id, 0);
  }

  /** Disconnects a worker from the leader. Its runs continue until the lease expires. */
  void disconnect(String id) {
    disconnected.add(id);
  }

  /** Makes the next runs that are started list no progress and never end by themselves. */
  void stallRuns(int runs) {
    runsToStall = runs;
  }

  /** Makes a task list its whole work as done from its start on, though it ends with the others. */
  void finishEarly(String task) {
    finishedEarly.add(task);
  }

  /** Makes every run that a worker starts from now on fail soon. */
  void failRuns(String id) {
    failingAllRuns.add(id);
  }

  /**
   * Sets how long the leader's process needs to send an order and to receive its answer. Further
   * orders wait for it meanwhile, and time out if they wait too long.
   */
  void setSendMillis(long millis) {
    sendMillis = millis;
  }

  /** Sets how much longer a worker takes to answer an order. */
  void slowDown(String id, long millis) {
    slowAnswerMillis.put(id, millis);
  }

  /** Makes polls of a worker fail with an exception instead of an answer. */
  void failPolls(String id) {
    failing.add(id);
  }

  void reconnect(String id) {
    disconnected.remove(id);
  }

  /**
   * Starts a worker again under its identifier. It has forgotten its runs, their ends, and the
   * fencing token, and its clock starts anew. Polls that wait at its former life stay unanswered.
   */
  void restart(String id) {
    worker(id).expire();
    Worker next = new Worker(id, worker(id).incarnation + 1);
    next.startMillis = loop.millis();
    workers.put(id, next);
  }

  /** Sets the checkpoint that workers name for all runs. */
  void setCheckpoint(String newCheckpoint) {
    checkpoint = newCheckpoint;
  }

  /** Makes the tasks of a step wait for each other, and end if they wait too long. */
  void setGang(String stepKey, int tasks) {
    gangSizes.put(stepKey, tasks);
  }

  /** Returns the number of runs that ended because the rest of their gang had not started. */
  int runsAlone() {
    workers.values().forEach(Worker::expire);
    return runsAlone;
  }

  /** Makes the worker of a running task lose the run, without an end. */
  void forgetRun(String task) {
    worker(workerOf(task)).running.remove(task);
  }

  /**
   * Leaves the next start order unanswered and executes it after a delay. Until then, workers
   * refuse start orders as unhealthy.
   */
  void delayStart(long millis) {
    startDelayMillis = millis;
  }

  /**
   * Leaves the next start order to a worker unanswered, and executes it after a delay, in the life
   * that the worker has then.
   */
  void holdBackStart(String id, long millis) {
    heldBackMillis.put(id, millis);
  }

  /** Executes the given number of start orders without answering them. */
  void loseStartAnswers(int count) {
    answersToLose = count;
  }

  /**
   * Returns descriptions of all violated invariants, such as a task that ran twice at the same
   * time.
   */
  List<String> violations() {
    workers.values().forEach(Worker::expire);
    return violations;
  }

  /** Returns the number of runs that were stopped by an order. */
  int stoppedRuns() {
    return stoppedRuns;
  }

  /** Returns how many orders timed out because earlier ones were being sent. */
  int unansweredOrders() {
    return unansweredOrders;
  }

  int starts(String task) {
    return starts.getOrDefault(task, 0);
  }

  Set<String> runningTasks() {
    Set<String> running = new HashSet<>();
    for (Worker worker : workers.values()) {
      worker.expire();
      running.addAll(worker.running.keySet());
    }
    return running;
  }

  String workerOf(String task) {
    for (Worker worker : workers.values()) {
      worker.expire();
      if (worker.running.containsKey(task)) {
        return worker.id;
      }
    }
    return "";
  }

  private Worker worker(String id) {
    return Objects.requireNonNull(workers.get(id));
  }

  @Override
  public CompletableFuture<OrderAnswer> start(WorkerRegistration worker, StartOrder order) {
    Long heldBack = heldBackMillis.remove(worker.id());
    if (heldBack != null) {
      loop.schedule(() -> worker(worker.id()).start(order), heldBack, TimeUnit.MILLISECONDS);
      return CompletableFuture.completedFuture(new OrderAnswer.Unanswered());
    }
    if (startDelayMillis > 0) {
      unhealthyUntilMillis = loop.millis() + startDelayMillis;
      loop.schedule(
          () -> worker(worker.id()).start(order), startDelayMillis, TimeUnit.MILLISECONDS);
      startDelayMillis = 0;
      return CompletableFuture.completedFuture(new OrderAnswer.Unanswered());
    }
    if (loop.millis() < unhealthyUntilMillis) {
      return CompletableFuture.completedFuture(new OrderAnswer.Refused(Reason.UNHEALTHY));
    }
    boolean losesAnswer = answersToLose > 0;
    answersToLose = Math.max(0, answersToLose - 1);
    CompletableFuture<OrderAnswer> answer = order(worker.id(), target -> target.start(order));
    return losesAnswer ? answer.thenApply(lost -> new OrderAnswer.Unanswered()) : answer;
  }

  @Override
  public CompletableFuture<OrderAnswer> stop(WorkerRegistration worker, StopOrder order) {
    return order(worker.id(), target -> target.stop(order));
  }

  private CompletableFuture<OrderAnswer> order(String id, Function<Worker, OrderAnswer> action) {
    CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
    if (disconnected.contains(id)) {
      loop.schedule(
          () -> answer.complete(new OrderAnswer.Unanswered()),
          ORDER_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
      return answer;
    }
    sendingUntilMillis = Math.max(loop.millis(), sendingUntilMillis) + sendMillis;
    long answerMillis =
        sendingUntilMillis
            - loop.millis()
            + ANSWER_DELAY_MILLIS
            + slowAnswerMillis.getOrDefault(id, 0L);
    loop.schedule(
        () -> answer.complete(action.apply(worker(id))), answerMillis, TimeUnit.MILLISECONDS);
    if (answerMillis > ORDER_TIMEOUT_MILLIS) {
      unansweredOrders++;
      loop.schedule(
          () -> answer.complete(new OrderAnswer.Unanswered()),
          ORDER_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
    }
    return answer;
  }

  @Override
  public CompletableFuture<PollAnswer> poll(WorkerRegistration worker, PollOrder order) {
    if (failing.contains(worker.id())) {
      throw new IllegalStateException("the worker cannot be polled");
    }
    CompletableFuture<PollAnswer> answer = new CompletableFuture<>();
    if (disconnected.contains(worker.id())) {
      loop.schedule(
          () -> answer.complete(new PollAnswer.Unanswered()),
          order.waitMillis() + POLL_TIMEOUT_MARGIN_MILLIS,
          TimeUnit.MILLISECONDS);
      return answer;
    }
    long deadlineMillis = loop.millis() + order.waitMillis();
    loop.schedule(
        () -> answerPoll(worker(worker.id()), order, deadlineMillis, answer),
        ANSWER_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
    return answer;
  }

  private void answerPoll(
      Worker worker, PollOrder order, long deadlineMillis, CompletableFuture<PollAnswer> answer) {
    if (disconnected.contains(worker.id)) {
      answer.complete(new PollAnswer.Unanswered());
      return;
    }
    if (worker(worker.id) != worker) {
      loop.schedule(
          () -> answer.complete(new PollAnswer.Unanswered()),
          deadlineMillis + POLL_TIMEOUT_MARGIN_MILLIS - loop.millis(),
          TimeUnit.MILLISECONDS);
      return;
    }
    PollAnswer current = worker.poll(order);
    boolean waits =
        current instanceof PollAnswer.Listing listing
            && listing.ended().isEmpty()
            && loop.millis() < deadlineMillis;
    if (waits) {
      loop.schedule(
          () -> answerPoll(worker, order, deadlineMillis, answer), 10, TimeUnit.MILLISECONDS);
    } else {
      answer.complete(current);
    }
  }

  /** A worker with its active runs and unacknowledged ends. */
  private final class Worker {
    private final String id;
    private final long incarnation;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> lastRuns = new HashMap<>();
    private final List<EndedTask> ended = new ArrayList<>();
    private long startMillis;
    private long fence;
    private long leaseUntilMillis;
    private long lastEndNumber;

    Worker(String id, long incarnation) {
      this.id = id;
      this.incarnation = incarnation;
    }

    long clock() {
      return loop.millis() - startMillis;
    }

    private void extendLease(long untilMillis) {
      leaseUntilMillis =
          Math.max(leaseUntilMillis, Math.min(untilMillis, clock() + maximumLeaseMillis));
    }

    OrderAnswer start(StartOrder order) {
      expire();
      if (order.fence() < fence) {
        return new OrderAnswer.Refused(Reason.FENCED);
      }
      fence = order.fence();
      extendLease(order.leaseUntilMillis());
      Run present = running.get(order.task());
      if (present != null && present.number == order.runNumber()) {
        return new OrderAnswer.Taken(clock());
      }
      if (lastRuns.getOrDefault(order.task(), 0) >= order.runNumber()) {
        return new OrderAnswer.Refused(Reason.OLD_RUN);
      }
      if (!workerOf(order.task()).isEmpty()) {
        violations.add(order.task() + " runs twice");
      }
      if (acknowledgedDone.contains(order.task())) {
        violations.add(order.task() + " starts again after its end was acknowledged");
      }
      lastRuns.put(order.task(), order.runNumber());
      runsStarted++;
      tasksStarted.merge(id, 1, Integer::sum);
      boolean stalls = runsToStall > 0;
      runsToStall = Math.max(0, runsToStall - 1);
      long totalMillis =
          (long) (workByStart.applyAsLong(runsStarted) / speeds.getOrDefault(id, 1.0));
      long completionMillis = stalls ? Long.MAX_VALUE : clock() + totalMillis;
      boolean fails = failingAllRuns.contains(id);
      long failureMillis = fails ? clock() + FAILURE_DELAY_MILLIS : Long.MAX_VALUE;
      Run run = new Run(order.runNumber(), clock(), totalMillis, completionMillis, failureMillis);
      running.put(order.task(), run);
      starts.merge(order.task(), 1, Integer::sum);
      recordAssembly(order.task(), order.runNumber());
      return new OrderAnswer.Taken(clock());
    }

    OrderAnswer stop(StopOrder order) {
      expire();
      if (order.fence() < fence) {
        return new OrderAnswer.Refused(Reason.FENCED);
      }
      fence = order.fence();
      lastRuns.merge(order.task(), order.runNumber(), Math::max);
      if (running.containsKey(order.task())) {
        end(order.task(), EndKind.STOPPED);
      }
      return new OrderAnswer.Taken(clock());
    }

    PollAnswer poll(PollOrder order) {
      expire();
      if (order.fence() < fence) {
        return new PollAnswer.Refused(Reason.FENCED);
      }
      fence = order.fence();
      extendLease(order.leaseUntilMillis());
      acknowledge(order.lastAcknowledgedEnd());
      List<RunningTask> list = new ArrayList<>();
      running.forEach((task, run) -> list.add(run.listed(task, clock())));
      List<EndedTask> listedEnds = ended.subList(0, Math.min(LISTED_ENDS, ended.size()));
      return new PollAnswer.Listing(
          incarnation, clock(), list, listedEnds, ended.size() < LISTED_ENDS);
    }

    private void acknowledge(long endNumber) {
      for (EndedTask end : List.copyOf(ended)) {
        if (end.endNumber() <= endNumber) {
          ended.remove(end);
          if (end.kind() == EndKind.DONE) {
            acknowledgedDone.add(end.task());
          }
        }
      }
    }

    void expire() {
      for (Map.Entry<String, Run> entry : Map.copyOf(running).entrySet()) {
        if (!running.containsKey(entry.getKey())) {
          continue;
        }
        if (entry.getValue().failureMillis <= clock()) {
          end(entry.getKey(), EndKind.FAILED);
        } else if (entry.getValue().completionMillis <= Math.min(clock(), leaseUntilMillis)) {
          end(entry.getKey(), EndKind.DONE);
        } else if (leaseUntilMillis <= clock()) {
          end(entry.getKey(), EndKind.LAPSED);
        } else if (isAlone(entry.getKey(), entry.getValue())) {
          runsAlone++;
          end(entry.getKey(), EndKind.ALONE);
        }
      }
    }

    /** Ends the other members of a gang when one of them ends without having completed. */
    private void breakGang(String task, EndKind kind) {
      String stepKey = task.substring(0, task.lastIndexOf('.'));
      if (!gangSizes.containsKey(stepKey) || kind == EndKind.DONE || kind == EndKind.BROKEN) {
        return;
      }
      for (Worker worker : workers.values()) {
        List.copyOf(worker.running.keySet()).stream()
            .filter(other -> other.startsWith(stepKey + '.'))
            .forEach(other -> worker.end(other, EndKind.BROKEN));
      }
    }

    /** Records that a gang is at work once the last of its members has started. */
    private void recordAssembly(String task, int runNumber) {
      String stepKey = task.substring(0, task.lastIndexOf('.'));
      Integer gangSize = gangSizes.get(stepKey);
      if (gangSize == null) {
        return;
      }
      int present = 0;
      for (Worker worker : workers.values()) {
        present +=
            worker.running.keySet().stream().filter(each -> each.startsWith(stepKey + '.')).count();
      }
      if (present == gangSize) {
        assembledGangs.add(stepKey + '/' + runNumber);
      }
    }

    private boolean isAlone(String task, Run run) {
      String stepKey = task.substring(0, task.lastIndexOf('.'));
      return gangSizes.containsKey(stepKey)
          && !assembledGangs.contains(stepKey + '/' + run.number)
          && clock() > run.startMillis + GANG_WAIT_MILLIS;
    }

    private void end(String task, EndKind kind) {
      final Run run = Objects.requireNonNull(running.remove(task));
      lastEndNumber++;
      breakGang(task, kind);
      stoppedRuns += kind == EndKind.STOPPED ? 1 : 0;
      ended.add(new EndedTask(lastEndNumber, task, run.number, kind, checkpoint));
    }
  }

  /** A run on a worker. Times are in milliseconds of the worker's clock. */
  private final class Run {
    private final int number;
    private final long startMillis;
    private final long totalMillis;
    private final long completionMillis;
    private final long failureMillis;

    Run(int number, long startMillis, long totalMillis, long completionMillis, long failureMillis) {
      this.number = number;
      this.startMillis = startMillis;
      this.totalMillis = totalMillis;
      this.completionMillis = completionMillis;
      this.failureMillis = failureMillis;
    }

    RunningTask listed(String task, long clockMillis) {
      long remainingMillis = Math.min(completionMillis - clockMillis, totalMillis);
      long percent = Math.max(0, 100 - remainingMillis * 100 / totalMillis);
      return new RunningTask(
          task, number, checkpoint, finishedEarly.contains(task) ? 100 : (int) percent);
    }
  }
}
