package io.dragonflyturn.internal.gang;

import java.util.List;
import java.util.Objects;

/**
 * A worker's answer to an exchange.
 *
 * @param worker the name of the worker
 * @param incarnation the incarnation of the worker, unique for each start
 * @param fenced whether the exchange was rejected because its fencing token is too low
 * @param tasks the state of all tasks that the worker knows
 */
public record WorkerReport(
    String worker, String incarnation, boolean fenced, List<TaskReport> tasks) {
  /** Creates an instance with an immutable copy of the tasks. */
  public WorkerReport {
    Objects.requireNonNull(incarnation);
    tasks = List.copyOf(tasks);
  }

  /** The state of a task on a worker. */
  public enum TaskState {
    /** Accelerators are reserved; the task is not running. */
    RESERVED,
    /** The task is running. */
    RUNNING,
    /** The task completed its work. */
    COMPLETED,
    /** The task failed. */
    FAILED,
    /** The task was stopped by a command. */
    STOPPED,
    /** The worker ended the task because its lease expired. */
    LAPSED,
    /** The reservation was rejected because the accelerators are held by other tasks. */
    REFUSED
  }

  /**
   * The state of one task, which runs one member of a gang.
   *
   * @param jobId the id of the job
   * @param attempt the attempt number
   * @param member the index of the member
   * @param state the state of the task
   * @param completedSeconds the work done over all attempts, in seconds of job run time
   * @param checkpointSeconds the part of that work that the last complete checkpoint preserves, in
   *     seconds
   */
  public record TaskReport(
      String jobId,
      int attempt,
      int member,
      TaskState state,
      double completedSeconds,
      double checkpointSeconds) {}
}
