package io.dragonflyturn.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.gang.WorkerCommand;
import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskState;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests reservations, fencing, run leases, and checkpoints of {@link TaskTable}. */
class TaskTableTest {
  private static final String INCARNATION = "worker.2";
  private static final long LEASE_MILLIS = 1_000;
  private static final Map<String, String> LONG_WORK = Map.of("work-seconds", "100");

  private long sequence;
  private final TaskTable table = new TaskTable("worker", INCARNATION, 500, () -> false);

  @Test
  void should_refuse_a_reservation_of_held_accelerators() {
    send(1, 0, reserve("first", 1));

    assertThat(send(1, 0, reserve("second", 1)).tasks())
        .filteredOn(task -> task.jobId().equals("second"))
        .extracting(WorkerReport.TaskReport::state)
        .containsExactly(TaskState.REFUSED);
  }

  @Test
  void should_refuse_a_fence_below_the_highest_seen() {
    send(2, 0);

    assertThat(send(1, 0, reserve("first", 1)).fenced()).isTrue();
  }

  @Test
  void should_end_a_task_when_its_lease_expires() {
    send(1, 1, reserve("first", 1), run("first", 1));

    assertThat(stateAfter(LEASE_MILLIS + 2)).isEqualTo(TaskState.LAPSED);
    assertThat(table.history().getFirst().endMillis()).isEqualTo(LEASE_MILLIS + 1);
  }

  @Test
  void should_not_extend_an_expired_lease() {
    send(1, 1, reserve("first", 1), run("first", 1));

    send(1, LEASE_MILLIS + 2, new WorkerCommand.Extend("first", 1, 0, LEASE_MILLIS));

    assertThat(stateAfter(LEASE_MILLIS + 3)).isEqualTo(TaskState.LAPSED);
  }

  @Test
  void should_refuse_to_reserve_a_forgotten_task_again() {
    send(1, 1, reserve("first", 1), run("first", 1), new WorkerCommand.Stop("first", 1, 0, false));
    send(1, 2, new WorkerCommand.Forget("first", 1, 0));

    assertThat(send(1, 3, reserve("first", 1)).tasks())
        .extracting(WorkerReport.TaskReport::state)
        .containsExactly(TaskState.REFUSED);
  }

  @Test
  void should_keep_all_completed_work_when_stopped_with_a_checkpoint() {
    send(1, 1, reserve("first", 1), run("first", 1));

    WorkerReport report = send(1, 701, new WorkerCommand.Stop("first", 1, 0, true));

    assertThat(report.tasks().getFirst().checkpointSeconds()).isEqualTo(0.7);
  }

  @Test
  void should_ignore_a_repeated_exchange() {
    WorkerExchange reservation =
        new WorkerExchange(1, 1, INCARNATION, List.of(reserve("first", 1)));
    table.exchange(reservation, 0);
    table.exchange(reservation, LEASE_MILLIS / 2);

    assertThat(stateAfter(LEASE_MILLIS)).isEqualTo(TaskState.LAPSED);
  }

  @Test
  void should_carry_out_no_command_for_another_incarnation() {
    List<WorkerCommand> commands = List.of(reserve("first", 1), run("first", 1));
    table.exchange(new WorkerExchange(1, 1, "worker.1", commands), 1);
    WorkerReport report = table.exchange(new WorkerExchange(1, 2, "", commands), 1);

    assertThat(report.tasks()).isEmpty();
    assertThat(report.incarnation()).isEqualTo(INCARNATION);
  }

  private TaskState stateAfter(long nowMillis) {
    return send(1, nowMillis).tasks().getFirst().state();
  }

  private WorkerReport send(long fence, long nowMillis, WorkerCommand... commands) {
    sequence++;
    return table.exchange(
        new WorkerExchange(fence, sequence, INCARNATION, List.of(commands)), nowMillis);
  }

  private static WorkerCommand reserve(String job, int attempt) {
    return new WorkerCommand.Reserve(job, attempt, 0, List.of(0), LEASE_MILLIS);
  }

  private static WorkerCommand run(String job, int attempt) {
    return new WorkerCommand.Run(job, attempt, 0, LEASE_MILLIS, 0, true, LONG_WORK);
  }
}
