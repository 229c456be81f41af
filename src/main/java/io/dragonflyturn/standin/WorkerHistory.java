package io.dragonflyturn.standin;

import java.util.List;

/**
 * Requests and tasks that a worker stand-in received since it started; tests check it for
 * consistency.
 *
 * @param worker the name of the worker
 * @param failureDomain the failure domain of the worker
 * @param requests all request attempts that reached the worker
 * @param tasks all tasks that ran
 */
public record WorkerHistory(
    String worker, String failureDomain, List<RequestRun> requests, List<TaskRun> tasks) {
  /** Copies the collections. */
  public WorkerHistory {
    requests = List.copyOf(requests);
    tasks = List.copyOf(tasks);
  }

  /**
   * Request attempt that reached the worker.
   *
   * @param requestId the id of the request
   * @param attemptId the id of the attempt
   * @param idempotent whether the request may safely run more than once
   * @param run whether the request ran; false if it was refused
   * @param leaving whether the worker was about to leave on arrival
   * @param atMillis the arrival time, in milliseconds since the epoch
   */
  public record RequestRun(
      String requestId,
      String attemptId,
      boolean idempotent,
      boolean run,
      boolean leaving,
      long atMillis) {}

  /**
   * Run of a task.
   *
   * @param jobId the id of the job
   * @param attempt the number of the attempt to run the job
   * @param member the index of the gang member
   * @param startMillis the start time, in milliseconds since the epoch
   * @param endMillis the end time, in milliseconds since the epoch; 0 while the task runs
   * @param end the final task state; {@code RUNNING} while the task runs
   */
  public record TaskRun(
      String jobId, int attempt, int member, long startMillis, long endMillis, String end) {}
}
