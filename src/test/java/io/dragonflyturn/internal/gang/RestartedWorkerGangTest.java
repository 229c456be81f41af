package io.dragonflyturn.internal.gang;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.standin.TaskTable;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Exchanges that were sent to a worker before it restarted arrive after it has restarted. */
class RestartedWorkerGangTest implements WorkerClient, GangListener {
  private static final String WORKER = "worker";
  private static final int TICK_MILLIS = 200;
  private static final int MAX_TICKS = 20;
  private static final JobSpecification JOB =
      new JobSpecification(
          "job",
          "customer",
          new Shape(1, 1, Span.REGION),
          Urgency.NORMAL,
          true,
          false,
          1,
          Map.of("work-seconds", "100"));

  private long nowMillis = 1;
  private int starts;
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private final List<WorkerExchange> late = new ArrayList<>();
  private final GangDriver driver =
      new GangDriver(
          this,
          this,
          GangTimings.DEFAULT,
          () -> Instant.ofEpochMilli(nowMillis),
          tasks::add,
          new MetricRegistry());
  private TaskTable table = newTable();
  private boolean started;
  private boolean ended;

  @BeforeEach
  void leadWithoutGangs() {
    driver.tick(1, List.of(), Map.of(WORKER, WORKER), jobId -> true);
  }

  // Regression: an attempt that had ended ran again beside the next one.
  @Test
  void should_not_run_an_ended_attempt_again_on_a_worker_that_restarted() {
    tickWhile(PlacedGang.Phase.RESERVED, () -> !started);
    tickWhile(PlacedGang.Phase.STOPPING, () -> !ended);
    assertThat(late).hasSize(2);

    table = newTable();
    late.forEach(exchange -> table.exchange(exchange, nowMillis));

    assertThat(table.history()).isEmpty();
  }

  // Regression: what an order for the former life had reserved was refused to the next attempt.
  @Test
  void should_hold_nothing_for_an_ended_attempt_on_a_worker_that_restarted() {
    tickWhile(PlacedGang.Phase.RESERVED, () -> !started);
    tickWhile(PlacedGang.Phase.STOPPING, () -> !ended);

    table = newTable();
    WorkerReport report = table.exchange(late.getFirst(), nowMillis);

    assertThat(report.tasks()).isEmpty();
  }

  @Test
  void should_start_a_gang_on_a_worker_that_restarted_before_its_first_reservation_arrived() {
    tick(PlacedGang.Phase.RESERVED);
    table = newTable();
    tickWhile(PlacedGang.Phase.RESERVED, () -> !started);

    assertThat(table.history()).hasSize(1);
  }

  private void tickWhile(PlacedGang.Phase phase, BooleanSupplier condition) {
    for (int tick = 0; tick < MAX_TICKS && condition.getAsBoolean(); tick++) {
      tick(phase);
    }
    assertThat(condition.getAsBoolean()).isFalse();
  }

  private void tick(PlacedGang.Phase phase) {
    PlacedGang gang =
        new PlacedGang(JOB, 1, List.of(new MemberPlacement(0, WORKER, List.of(0))), phase, 0);
    driver.tick(1, List.of(gang), Map.of(WORKER, WORKER), jobId -> true);
    while (!tasks.isEmpty()) {
      tasks.remove().run();
    }
    nowMillis += TICK_MILLIS;
  }

  /** Loses the first reservation and the first start, which arrive late. */
  @Override
  public CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange) {
    boolean isFirst =
        exchange.commands().stream()
            .filter(RestartedWorkerGangTest::grantsFirstLease)
            .anyMatch(command -> late.stream().noneMatch(each -> contains(each, command)));
    if (isFirst) {
      late.add(exchange);
      return CompletableFuture.failedFuture(
          new DragonflyturnException(ResultCode.OUTCOME_UNKNOWN, "timeout"));
    }
    return CompletableFuture.completedFuture(table.exchange(exchange, nowMillis));
  }

  private static boolean grantsFirstLease(WorkerCommand command) {
    return command instanceof WorkerCommand.Reserve || command instanceof WorkerCommand.Run;
  }

  private static boolean contains(WorkerExchange exchange, WorkerCommand command) {
    return exchange.commands().stream().anyMatch(each -> each.getClass() == command.getClass());
  }

  private TaskTable newTable() {
    return new TaskTable(WORKER, WORKER + "." + ++starts, 500, () -> false);
  }

  @Override
  public void gangStarted(long term, String jobId, int attempt) {
    started = true;
  }

  @Override
  public void gangEnded(
      long term,
      String jobId,
      int attempt,
      GangOutcome outcome,
      double completedSeconds,
      List<String> failedWorkers) {
    ended = true;
  }

  @Override
  public void memberLost(long term, String jobId, int attempt, String worker, StopReason reason) {}

  @Override
  public void fenced(String worker) {}
}
