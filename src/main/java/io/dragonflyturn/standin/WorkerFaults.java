package io.dragonflyturn.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Change to the faults that a worker stand-in injects. A null field leaves the corresponding fault
 * unchanged.
 *
 * @param failTasks whether every task fails immediately after it starts
 * @param delayMillis the delay of every response, in milliseconds
 * @param loseControlAnswers the number of upcoming exchanges that take effect without a response
 * @param loseRequestAnswers the number of upcoming requests that run without a response
 * @param crossAnswers the number of upcoming requests that get the response to an earlier request
 * @param leaving whether the worker is about to leave and therefore refuses requests
 * @param serviceMillis the service time of each request, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record WorkerFaults(
    @Nullable Boolean failTasks,
    @Nullable Long delayMillis,
    @Nullable Integer loseControlAnswers,
    @Nullable Integer loseRequestAnswers,
    @Nullable Integer crossAnswers,
    @Nullable Boolean leaving,
    @Nullable Long serviceMillis) {

  /** Returns a change that clears all faults and keeps the service time. */
  public static WorkerFaults heal() {
    return new WorkerFaults(false, 0L, 0, 0, 0, false, null);
  }

  /** Returns a change that makes every new task fail, or ends this fault. */
  public static WorkerFaults failTasks(boolean failing) {
    return new WorkerFaults(failing, null, null, null, null, null, null);
  }

  /** Returns a change that delays every response by the given time in milliseconds. */
  public static WorkerFaults delay(long millis) {
    return new WorkerFaults(null, millis, null, null, null, null, null);
  }

  /** Returns a change that drops the responses to the next exchanges after they take effect. */
  public static WorkerFaults loseControlAnswers(int count) {
    return new WorkerFaults(null, null, count, null, null, null, null);
  }

  /** Returns a change that drops the responses to the next requests after they have run. */
  public static WorkerFaults loseRequestAnswers(int count) {
    return new WorkerFaults(null, null, null, count, null, null, null);
  }

  /** Returns a change that answers the next requests with the response to an earlier one. */
  public static WorkerFaults crossAnswers(int count) {
    return new WorkerFaults(null, null, null, null, count, null, null);
  }

  /** Returns a change that announces that the worker leaves, or withdraws this. */
  public static WorkerFaults leaving(boolean leaving) {
    return new WorkerFaults(null, null, null, null, null, leaving, null);
  }

  /** Returns a change of the service time of requests, in milliseconds. */
  public static WorkerFaults serviceTime(long millis) {
    return new WorkerFaults(null, null, null, null, null, null, millis);
  }
}
