package io.dragonflyturn.standin;

import io.dragonflyturn.internal.gang.WorkerCommand;
import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskState;
import io.dragonflyturn.standin.WorkerTask.TaskKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Tasks of a worker stand-in with their reservations, run leases, and checkpoints.
 *
 * <p>Applies the commands of schedulers and rejects commands from schedulers with an old fence.
 */
public final class TaskTable {
  private final String worker;
  private final String incarnation;
  private final long checkpointMillis;
  private final BooleanSupplier failing;
  private final Map<TaskKey, WorkerTask> tasks = new LinkedHashMap<>();
  private final Map<TaskKey, TaskReport> refusals = new LinkedHashMap<>();
  private final Set<TaskKey> forgotten = new HashSet<>();
  private final List<WorkerHistory.TaskRun> ended = new ArrayList<>();
  private long highestFence;
  private long highestSequence;

  /**
   * Creates an empty table.
   *
   * @param worker the name of the worker
   * @param incarnation the incarnation of the worker, unique for each start
   * @param checkpointMillis the checkpoint interval of checkpointable tasks, in milliseconds
   * @param failing returns whether a task that starts now fails
   */
  public TaskTable(
      String worker, String incarnation, long checkpointMillis, BooleanSupplier failing) {
    this.worker = worker;
    this.incarnation = incarnation;
    this.checkpointMillis = checkpointMillis;
    this.failing = failing;
  }

  /**
   * Applies the commands of an exchange and reports all tasks. Refuses the exchange if its fence is
   * below the highest seen. For an equal fence, ignores the commands if the sequence number is not
   * above the highest seen, so that a repeated exchange has no effect, or if they are for another
   * incarnation of the worker.
   */
  public synchronized WorkerReport exchange(WorkerExchange exchange, long nowMillis) {
    advance(nowMillis);
    if (exchange.fence() < highestFence) {
      return new WorkerReport(worker, incarnation, true, reports());
    }
    if (exchange.fence() > highestFence || exchange.sequence() > highestSequence) {
      highestFence = exchange.fence();
      highestSequence = exchange.sequence();
      if (incarnation.equals(exchange.incarnation())) {
        exchange.commands().forEach(command -> apply(command, nowMillis));
        advance(nowMillis);
      }
    }
    WorkerReport report = new WorkerReport(worker, incarnation, false, reports());
    refusals.clear();
    return report;
  }

  /** Advances all tasks to the given time. */
  public synchronized void advance(long nowMillis) {
    tasks.values().forEach(task -> task.advance(nowMillis));
  }

  /** Returns all task runs so far, including those in progress. */
  public synchronized List<WorkerHistory.TaskRun> history() {
    List<WorkerHistory.TaskRun> all = new ArrayList<>(ended);
    tasks.values().stream().filter(WorkerTask::hasRun).map(WorkerTask::history).forEach(all::add);
    return all;
  }

  private void apply(WorkerCommand command, long nowMillis) {
    TaskKey key = TaskKey.of(command);
    WorkerTask task = tasks.get(key);
    if (command instanceof WorkerCommand.Reserve reserve) {
      reserve(reserve, key, nowMillis);
      return;
    }
    if (task == null) {
      refuse(key);
      return;
    }
    switch (command) {
      case WorkerCommand.Reserve reserve -> reserve(reserve, key, nowMillis);
      case WorkerCommand.Run run -> task.run(run, failing.getAsBoolean(), nowMillis);
      case WorkerCommand.Extend extend -> task.extend(extend.leaseMillis(), nowMillis);
      case WorkerCommand.Stop stop -> task.stop(stop.checkpoint(), nowMillis);
      case WorkerCommand.Forget forget -> forget(task);
    }
  }

  private void reserve(WorkerCommand.Reserve reserve, TaskKey key, long nowMillis) {
    WorkerTask existing = tasks.get(key);
    if (existing != null) {
      existing.reserveAgain(reserve, nowMillis);
      return;
    }
    boolean held = tasks.values().stream().anyMatch(task -> task.holdsAny(reserve.accelerators()));
    if (held || forgotten.contains(key)) {
      refuse(key);
      return;
    }
    tasks.put(key, new WorkerTask(reserve, checkpointMillis, nowMillis));
  }

  private void forget(WorkerTask task) {
    if (task.isActive()) {
      return;
    }
    if (task.hasRun()) {
      ended.add(task.history());
    }
    tasks.remove(task.key());
    forgotten.add(task.key());
  }

  private void refuse(TaskKey key) {
    refusals.put(
        key, new TaskReport(key.jobId(), key.attempt(), key.member(), TaskState.REFUSED, 0, 0));
  }

  private List<TaskReport> reports() {
    List<TaskReport> reports = new ArrayList<>(refusals.values());
    tasks.values().forEach(task -> reports.add(task.report()));
    return reports;
  }
}
