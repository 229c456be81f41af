package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that {@link ChildProcess} reports early exits and leaves no orphans. */
class ChildProcessTest {
  private static final String READY_PREFIX = "grandchild ";
  private static final long EXIT_TIMEOUT_SECONDS = 30;

  @Test
  void should_kill_children_when_the_parent_jvm_exits_without_closing_them() {
    ProcessHandle grandchild;
    try (ChildProcess child =
        ChildProcess.start("child", ParentMain.class, READY_PREFIX, List.of())) {
      String line = child.awaitReady().getLast();
      grandchild =
          ProcessHandle.of(Long.parseLong(line.substring(READY_PREFIX.length()))).orElseThrow();
      child.terminate();
      child.awaitEnd();
    }
    try {
      ScenarioWorld.await(
          Duration.ofSeconds(EXIT_TIMEOUT_SECONDS),
          "the grandchild exits",
          () -> !grandchild.isAlive());
    } finally {
      grandchild.destroyForcibly();
    }
  }

  @Test
  void should_report_immediately_that_a_process_exited_before_it_was_ready() {
    try (ChildProcess child =
        ChildProcess.start("child", EarlyExitMain.class, READY_PREFIX, List.of())) {
      assertThatThrownBy(child::awaitReady)
          .hasMessage("child exited with status 3 before it was ready.");
    }
  }

  /** Exits before it reports that it is ready. */
  static final class EarlyExitMain {
    private EarlyExitMain() {}

    /** Exits with status 3. */
    public static void main(String[] arguments) {
      System.exit(3);
    }
  }

  /** Starts a child process and does not close it. */
  static final class ParentMain {
    private ParentMain() {}

    /** Starts the child, prints its process id, and waits to be terminated. */
    public static void main(String[] arguments) throws InterruptedException {
      ChildProcess child = ChildProcess.start("grandchild", SleepingMain.class, "ready", List.of());
      child.awaitReady();
      System.out.println(READY_PREFIX + child.pid());
      Thread.sleep(TimeUnit.SECONDS.toMillis(EXIT_TIMEOUT_SECONDS));
    }
  }

  /** Runs for longer than the test. */
  static final class SleepingMain {
    private SleepingMain() {}

    /** Prints the ready line and sleeps. */
    public static void main(String[] arguments) throws InterruptedException {
      System.out.println("ready");
      Thread.sleep(TimeUnit.MINUTES.toMillis(5));
    }
  }
}
