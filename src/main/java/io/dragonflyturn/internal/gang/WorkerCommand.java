package io.dragonflyturn.internal.gang;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** A command to a worker. Commands are idempotent for each job, attempt, and member. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = WorkerCommand.Reserve.class, name = "reserve"),
  @JsonSubTypes.Type(value = WorkerCommand.Run.class, name = "run"),
  @JsonSubTypes.Type(value = WorkerCommand.Extend.class, name = "extend"),
  @JsonSubTypes.Type(value = WorkerCommand.Stop.class, name = "stop"),
  @JsonSubTypes.Type(value = WorkerCommand.Forget.class, name = "forget")
})
public sealed interface WorkerCommand {
  /** Returns the id of the job. */
  String jobId();

  /** Returns the attempt number. */
  int attempt();

  /** Returns the index of the member. */
  int member();

  /**
   * Reserves accelerators for a member until the lease expires. If the member is already reserved,
   * the reservation is extended; the lease of a running member is not changed.
   */
  record Reserve(
      String jobId, int attempt, int member, List<Integer> accelerators, long leaseMillis)
      implements WorkerCommand {}

  /**
   * Starts a reserved member under a lease.
   *
   * @param jobId the id of the job
   * @param attempt the attempt number
   * @param member the index of the member
   * @param leaseMillis the duration of the lease in milliseconds
   * @param completedSeconds the work preserved by the last complete checkpoint, in seconds
   * @param checkpointable whether the job can be checkpointed
   * @param labels the labels of the job, which are passed to the program that the worker runs
   */
  record Run(
      String jobId,
      int attempt,
      int member,
      long leaseMillis,
      double completedSeconds,
      boolean checkpointable,
      Map<String, String> labels)
      implements WorkerCommand {}

  /** Extends the lease of a running member. */
  record Extend(String jobId, int attempt, int member, long leaseMillis) implements WorkerCommand {}

  /** Stops a member, after a checkpoint if requested. */
  record Stop(String jobId, int attempt, int member, boolean checkpoint) implements WorkerCommand {}

  /** Discards the report of an ended member. */
  record Forget(String jobId, int attempt, int member) implements WorkerCommand {}
}
