package io.dragonflyturn.internal.gang;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.standin.TaskTable;
import io.dragonflyturn.standin.WorkerHistory.TaskRun;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Workers in simulated time, behind a network that delays, loses, and duplicates messages. */
final class SimulatedWorkers implements WorkerClient, Executor {
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int MAX_DELAY_MILLIS = 3_000;
  private static final int TYPICAL_MAX_DELAY_MILLIS = 30;
  private static final long CHECKPOINT_INTERVAL_MILLIS = 500;

  private final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, SimulatedWorker> workers = new TreeMap<>();
  private double faultRate;
  private long nowMillis = 1;
  private long eventCount;

  SimulatedWorkers(Random random, int count, double faultRate) {
    this.random = random;
    this.faultRate = faultRate;
    for (int number = 0; number < count; number++) {
      workers.put("worker-" + number, new SimulatedWorker("worker-" + number));
    }
  }

  List<String> names() {
    return List.copyOf(workers.keySet());
  }

  InstantSource clock() {
    return () -> Instant.ofEpochMilli(nowMillis);
  }

  void stopFaults() {
    faultRate = 0;
  }

  /** Suspends a worker until the given time; messages are delivered after it. */
  void freeze(String worker, long untilMillis) {
    worker(worker).frozenUntilMillis = untilMillis;
  }

  /** Restarts a worker without its state; messages to the old process may reach the new one. */
  void restart(String worker) {
    worker(worker).restart();
  }

  /** Sets whether a worker fails all its tasks. */
  void failTasks(String worker, boolean failing) {
    worker(worker).failing = failing;
  }

  @Override
  public CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange) {
    CompletableFuture<WorkerReport> answer = new CompletableFuture<>();
    SimulatedWorker worker = worker(address);
    if (!faultOccurs()) {
      schedule(nowMillis + randomDelayMillis(), () -> deliver(worker, exchange, answer));
    }
    if (faultOccurs()) {
      schedule(
          nowMillis + randomDelayMillis(),
          () -> deliver(worker, exchange, new CompletableFuture<>()));
    }
    schedule(
        nowMillis + TIMEOUT_MILLIS,
        () ->
            answer.completeExceptionally(
                new DragonflyturnException(ResultCode.OUTCOME_UNKNOWN, "timeout")));
    return answer;
  }

  @Override
  public void execute(Runnable task) {
    schedule(nowMillis, task);
  }

  /** Runs all events up to the given time and sets the clock to it. */
  void runUntil(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.poll();
      nowMillis = Math.max(nowMillis, event.atMillis());
      event.action().run();
    }
    nowMillis = untilMillis;
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Returns all task runs so far; runs still in progress end at the current time. */
  List<TaskRun> runs() {
    List<TaskRun> runs = new ArrayList<>();
    workers.values().forEach(worker -> runs.addAll(worker.runs()));
    return runs;
  }

  private void deliver(
      SimulatedWorker worker, WorkerExchange exchange, CompletableFuture<WorkerReport> answer) {
    if (worker.frozenUntilMillis > nowMillis) {
      schedule(worker.frozenUntilMillis, () -> deliver(worker, exchange, answer));
      return;
    }
    WorkerReport report = worker.table.exchange(exchange, nowMillis);
    if (!faultOccurs()) {
      schedule(nowMillis + randomDelayMillis(), () -> answer.complete(report));
    }
  }

  private SimulatedWorker worker(String name) {
    return Objects.requireNonNull(workers.get(name));
  }

  private boolean faultOccurs() {
    return random.nextDouble() < faultRate;
  }

  private long randomDelayMillis() {
    return 1 + random.nextInt(faultOccurs() ? MAX_DELAY_MILLIS : TYPICAL_MAX_DELAY_MILLIS);
  }

  private void schedule(long atMillis, Runnable action) {
    events.add(new Event(atMillis, eventCount++, action));
  }

  private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int timeOrder = Long.compare(atMillis, other.atMillis);
      return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
    }
  }

  private final class SimulatedWorker {
    private final String name;
    private final List<TaskRun> previousRuns = new ArrayList<>();
    private int starts;
    private TaskTable table;
    private long frozenUntilMillis;
    private boolean failing;

    SimulatedWorker(String name) {
      this.name = name;
      table = newTable();
    }

    void restart() {
      previousRuns.addAll(runs());
      table = newTable();
    }

    List<TaskRun> runs() {
      table.advance(nowMillis);
      List<TaskRun> allRuns = new ArrayList<>(previousRuns);
      for (TaskRun run : table.history()) {
        long endMillis = run.endMillis() == 0 ? nowMillis : run.endMillis();
        allRuns.add(
            new TaskRun(
                run.jobId(), run.attempt(), run.member(), run.startMillis(), endMillis, run.end()));
      }
      return allRuns;
    }

    private TaskTable newTable() {
      String incarnation = name + "." + ++starts;
      return new TaskTable(name, incarnation, CHECKPOINT_INTERVAL_MILLIS, () -> failing);
    }
  }
}
