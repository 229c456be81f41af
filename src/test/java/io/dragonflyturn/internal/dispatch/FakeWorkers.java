package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Reason;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.StartOrder;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import io.dragonflyturn.internal.workload.Resources;
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
  private static final long ORDER_TIMEOUT_MILLIS = 500;
  private static final long POLL_TIMEOUT_MARGIN_MILLIS = 800;

  private final ManualLoop loop;
  private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  private final Set<String> disconnected = new HashSet<>();
  private final Set<String> down = new HashSet<>();
  private final Set<String> refusing = new HashSet<>();
  private final Set<String> failing = new HashSet<>();
  private final FakeGangs gangs = new FakeGangs(workers.values());
  final FakeAudit audit = new FakeAudit();
  private final Map<String, Long> slowAnswerMillis = new HashMap<>();
  private final Map<String, Long> heldBackMillis = new HashMap<>();
  private final FakeRunPlan plan = new FakeRunPlan();
  private final Map<String, Resources> capacities = new HashMap<>();
  private int answersToLose;
  private long startDelayMillis;
  private long unhealthyUntilMillis;
  private int stoppedRuns;
  private long sendMillis;
  private long sendingUntilMillis;
  private int unansweredOrders;
  private String checkpoint = "";
  private long maximumLeaseMillis = 6_000;

  FakeWorkers(ManualLoop loop) {
    this.loop = loop;
  }

  void add(String id) {
    workers.put(id, new FakeWorker(id, 1, this, gangs, loop));
  }

  Set<String> ids() {
    return Set.copyOf(workers.keySet());
  }

  List<WorkerRegistration> registrations() {
    return workers.keySet().stream().map(this::registration).toList();
  }

  WorkerRegistration registration(String id) {
    return worker(id).registration(false, 0);
  }

  WorkerRegistration drainingRegistration(String id, long remainingMillis) {
    return worker(id).registration(true, remainingMillis);
  }

  /** Sets the capacity that a worker reports from now on. */
  void setCapacity(String id, Resources capacity) {
    capacities.put(id, capacity);
  }

  Resources capacity(String id) {
    return capacities.getOrDefault(id, CAPACITY);
  }

  /** Sets the longest lease that workers accept; they shorten a longer one. */
  void setMaximumLeaseMillis(long millis) {
    maximumLeaseMillis = millis;
  }

  void setWorkMillis(long millis) {
    plan.setWorkMillis(start -> millis);
  }

  /**
   * Sets how long a run takes on a worker of speed 1.
   *
   * @param millis returns the run time of a run by its number, counted from 0 in order of the
   *     starts
   */
  void setWorkMillis(LongUnaryOperator millis) {
    plan.setWorkMillis(millis);
  }

  /** Sets how long the tasks of a step take, whatever is set for other runs. */
  void setWorkMillis(String stepKey, long millis) {
    plan.setWorkMillis(stepKey, millis);
  }

  /** Sets how fast a worker runs tasks; 0.5 takes twice as long as the usual 1. */
  void setSpeed(String id, double speed) {
    plan.setSpeed(id, speed);
  }

  /** Returns how many tasks a worker has started. */
  int tasksStarted(String id) {
    return audit.startsOn(id);
  }

  /** Disconnects a worker from the leader. Its runs continue until the lease expires. */
  void disconnect(String id) {
    disconnected.add(id);
  }

  /** Makes the next runs that are started list no progress and never end by themselves. */
  void stallRuns(int runs) {
    plan.stallRuns(runs);
  }

  /** Makes a task list its whole work as done from its start on, though it ends with the others. */
  void finishEarly(String task) {
    plan.finishEarly(task);
  }

  /** Makes every run that a worker starts from now on fail soon. */
  void failRuns(String id) {
    plan.failRuns(id);
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
    restart(id, 0, 1);
  }

  /** Starts a worker again, whose clock shows a first time and runs at a rate from then on. */
  void restart(String id, long clockMillis, double clockRate) {
    down.remove(id);
    refusing.remove(id);
    beginLife(id).startClock(clockMillis, clockRate);
  }

  private FakeWorker beginLife(String id) {
    worker(id).expire();
    long incarnation = Math.max(worker(id).incarnation() + 1, loop.millis());
    FakeWorker next = new FakeWorker(id, incarnation, this, gangs, loop);
    workers.put(id, next);
    return next;
  }

  /**
   * Ends a worker without a word. Until it is restarted it runs nothing and carries out no order.
   *
   * @param refuses whether its host still answers that nothing listens there; otherwise silence
   */
  void crash(String id, boolean refuses) {
    beginLife(id);
    down.add(id);
    if (refuses) {
      refusing.add(id);
    }
  }

  /** Returns whether a worker has crashed and not started again. */
  boolean isDown(String id) {
    return down.contains(id);
  }

  private boolean isSilent(String id) {
    return disconnected.contains(id) || down.contains(id);
  }

  /** Returns how long it takes until an order that gets no answer is given up. */
  private long giveUpMillis(String id, long timeoutMillis) {
    return refusing.contains(id) ? ANSWER_DELAY_MILLIS : timeoutMillis;
  }

  /** Sets the checkpoint that workers name for all runs. */
  void setCheckpoint(String newCheckpoint) {
    checkpoint = newCheckpoint;
  }

  /** Makes the tasks of a step wait for each other, and end if they wait too long. */
  void setGang(String stepKey, int tasks) {
    gangs.setSize(stepKey, tasks);
  }

  /** Returns the number of runs that ended because the rest of their gang had not started. */
  int runsAlone() {
    workers.values().forEach(FakeWorker::expire);
    return gangs.runsAlone();
  }

  /** Makes the worker of a running task lose the run, without an end. */
  void forgetRun(String task) {
    worker(workerOf(task)).forget(task);
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
    workers.values().forEach(FakeWorker::expire);
    return audit.violations();
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
    return audit.starts(task);
  }

  Set<String> runningTasks() {
    Set<String> running = new HashSet<>();
    for (FakeWorker worker : workers.values()) {
      worker.expire();
      running.addAll(worker.runningTasks());
    }
    return running;
  }

  String workerOf(String task) {
    for (FakeWorker worker : workers.values()) {
      worker.expire();
      if (worker.runs(task)) {
        return worker.id();
      }
    }
    return "";
  }

  long maximumLeaseMillis() {
    return maximumLeaseMillis;
  }

  String checkpoint() {
    return checkpoint;
  }

  /** Creates the run that a worker starts now, and checks that it may be started. */
  FakeRun begin(FakeWorker worker, StartOrder order) {
    audit.started(worker.id(), order.task(), order.runNumber(), activeRun(order.task()));
    return plan.next(worker.id(), order.task(), order.runNumber(), worker.clock());
  }

  void countStopped() {
    stoppedRuns++;
  }

  /** Returns the number of the active run of a task; 0 if there is none. */
  private int activeRun(String task) {
    String worker = workerOf(task);
    return worker.isEmpty() ? 0 : worker(worker).runNumber(task);
  }

  FakeWorker worker(String id) {
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

  private CompletableFuture<OrderAnswer> order(
      String id, Function<FakeWorker, OrderAnswer> action) {
    CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
    if (isSilent(id)) {
      loop.schedule(
          () -> answer.complete(new OrderAnswer.Unanswered()),
          giveUpMillis(id, ORDER_TIMEOUT_MILLIS),
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
    if (isSilent(worker.id())) {
      loop.schedule(
          () -> answer.complete(new PollAnswer.Unanswered()),
          giveUpMillis(worker.id(), order.waitMillis() + POLL_TIMEOUT_MARGIN_MILLIS),
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
      FakeWorker worker,
      PollOrder order,
      long deadlineMillis,
      CompletableFuture<PollAnswer> answer) {
    if (disconnected.contains(worker.id())) {
      answer.complete(new PollAnswer.Unanswered());
      return;
    }
    if (worker(worker.id()) != worker) {
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
}
