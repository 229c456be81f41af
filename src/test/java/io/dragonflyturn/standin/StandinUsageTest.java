package io.dragonflyturn.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import io.dragonflyturn.internal.gang.WorkerCommand;
import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.gang.WorkerReport.TaskState;
import io.dragonflyturn.internal.http.HttpPlatformLog;
import io.dragonflyturn.internal.http.JettyWorkerClient;
import io.dragonflyturn.internal.http.PlatformInstances;
import io.dragonflyturn.internal.log.LogException;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.model.Worker;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the stand-ins through the HTTP clients of the scheduler. */
class StandinUsageTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String STREAM = PlatformLog.CONTROL_STREAM;
  private static final int MAXIMUM_BATCHES = 5;

  private final HttpClient client = new HttpClient();
  private final PlatformStandin platform =
      new PlatformStandin(
          PlatformSettings.DEFAULT.withMaximumBatches(MAXIMUM_BATCHES), InstantSource.system());
  private PlatformLog log = new UnavailableLog();

  @BeforeEach
  void start() throws Exception {
    client.start();
    platform.start();
    log = new HttpPlatformLog(client, platform.address());
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    platform.close();
  }

  @Test
  void should_append_and_read_batches_in_order() {
    assertThat(log.append(STREAM, bytes("a"), TIMEOUT)).isZero();
    assertThat(log.append(STREAM, bytes("b"), TIMEOUT)).isEqualTo(1);

    LogSlice slice = log.read(STREAM, 0, Duration.ZERO);

    assertThat(slice.end()).isEqualTo(2);
    assertThat(slice.batches())
        .extracting(LogSlice.Batch::content)
        .containsExactly(bytes("a"), bytes("b"));
  }

  @Test
  void should_wait_for_the_first_batch() {
    CompletableFuture<LogSlice> reading =
        CompletableFuture.supplyAsync(() -> log.read(STREAM, 0, TIMEOUT));

    log.append(STREAM, bytes("a"), TIMEOUT);

    assertThat(reading.orTimeout(20, TimeUnit.SECONDS).join().batches()).hasSize(1);
  }

  @Test
  void should_drop_the_oldest_batches_beyond_the_retention_limit() {
    for (int count = 0; count < MAXIMUM_BATCHES + 2; count++) {
      log.append(STREAM, bytes("a"), TIMEOUT);
    }

    LogSlice slice = log.read(STREAM, 0, Duration.ZERO);

    assertThat(slice.firstAvailable()).isEqualTo(2);
    assertThat(slice.batches()).hasSize(MAXIMUM_BATCHES);
  }

  @Test
  void should_append_the_batch_when_the_response_is_lost() {
    platform.change(PlatformFaults.loseAnswers(1));

    assertThatExceptionOfType(LogException.class)
        .isThrownBy(() -> log.append(STREAM, bytes("a"), TIMEOUT))
        .satisfies(lost -> assertThat(lost.effect()).isEqualTo(LogException.Effect.UNKNOWN));
    assertThat(log.read(STREAM, 0, Duration.ZERO).batches()).hasSize(1);
  }

  @Test
  void should_not_append_the_batch_when_the_append_is_lost() {
    platform.change(PlatformFaults.loseAppends(1));

    assertThatExceptionOfType(LogException.class)
        .isThrownBy(() -> log.append(STREAM, bytes("a"), TIMEOUT))
        .satisfies(lost -> assertThat(lost.effect()).isEqualTo(LogException.Effect.UNKNOWN));
    assertThat(log.read(STREAM, 0, Duration.ZERO).batches()).isEmpty();
  }

  @Test
  void should_report_that_an_append_had_no_effect_while_the_log_is_stopped() {
    platform.change(PlatformFaults.stop(true));

    assertThatExceptionOfType(LogException.class)
        .isThrownBy(() -> log.append(STREAM, bytes("a"), TIMEOUT))
        .satisfies(lost -> assertThat(lost.effect()).isEqualTo(LogException.Effect.NONE));

    platform.change(PlatformFaults.heal());
    assertThat(log.append(STREAM, bytes("a"), TIMEOUT)).isZero();
  }

  @Test
  void should_list_a_worker_and_run_a_reserved_task_on_it() {
    WorkerSettings settings = WorkerSettings.of("worker-1", "a", "a-1", platform.address());
    try (WorkerHost host = new WorkerHost(List.of(settings), InstantSource.system())) {
      host.start();
      Worker listed = awaitListed();
      JettyWorkerClient workers = new JettyWorkerClient(client, TIMEOUT);

      String incarnation =
          workers
              .exchange(listed.address(), new WorkerExchange(1, 1, "", List.of()))
              .join()
              .incarnation();
      WorkerReport report =
          workers
              .exchange(
                  listed.address(),
                  new WorkerExchange(
                      1,
                      2,
                      incarnation,
                      List.of(
                          new WorkerCommand.Reserve("job", 1, 0, List.of(0), 5_000),
                          new WorkerCommand.Run("job", 1, 0, 5_000, 0, false, Map.of()))))
              .join();

      assertThat(report.tasks())
          .extracting(WorkerReport.TaskReport::state)
          .containsExactly(TaskState.RUNNING);
      assertThat(host.workers().getFirst().history().tasks()).hasSize(1);
    }
  }

  private Worker awaitListed() {
    PlatformInstances instances = new PlatformInstances(client, platform.address());
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      List<Worker> workers = instances.read(TIMEOUT).workers();
      if (!workers.isEmpty()) {
        return workers.getFirst();
      }
    }
    throw new AssertionError("The worker was not listed before the timeout");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static final class UnavailableLog implements PlatformLog {
    @Override
    public long append(String stream, byte[] batch, Duration timeout) {
      throw new IllegalStateException("not started");
    }

    @Override
    public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
      throw new IllegalStateException("not started");
    }
  }
}
