package io.dragonflyturn.internal.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EventLoopTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog events =
      new EventLog(
          new PrintStream(output, true, StandardCharsets.UTF_8), InstantSource.system(), "test");
  private final EventLoop eventLoop = new EventLoop(events);

  @AfterEach
  void stop() {
    eventLoop.shutdownNow();
  }

  @Test
  void should_log_and_count_a_task_that_fails_and_run_the_next_one() throws Exception {
    eventLoop.schedule(() -> fail("broken task"), 0, TimeUnit.MILLISECONDS);
    eventLoop.execute(() -> fail("another broken task"));
    eventLoop.submit(() -> {}).get(5, TimeUnit.SECONDS);

    events.close();

    assertThat(eventLoop.failures()).isEqualTo(2);
    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("callback-failed")
        .contains("java.lang.IllegalStateException: broken task")
        .contains("another broken task");
  }

  private static void fail(String message) {
    throw new IllegalStateException(message);
  }
}
