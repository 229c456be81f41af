package io.dragonflyturn.daemon;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.logging.LogSetup;
import io.dragonflyturn.internal.settings.LogFormat;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jboss.logging.Logger;

/** Runs a daemon until the process receives a termination signal, then shuts it down gracefully. */
final class DaemonRunner {
  private static final Logger LOG = Logger.getLogger(DaemonRunner.class);
  private static final int FAILED_SHUTDOWN_EXIT_STATUS = 1;

  private DaemonRunner() {}

  /**
   * Runs a process and prints the message of a failure to standard error.
   *
   * @return the exit status, also if the settings are invalid
   */
  @SuppressWarnings("SystemOut") // Standard error reaches the user who starts the process.
  static int main(ToIntFunction<String[]> process, String[] arguments) {
    try {
      return process.applyAsInt(arguments);
    } catch (DragonflyturnException failure) {
      System.err.println(failure.getMessage());
      return failure.code().exitStatus();
    }
  }

  /** Starts a daemon and blocks until the process ends. */
  @SuppressWarnings("SystemOut") // The parent process waits for the ready line.
  static int run(LogFormat format, Supplier<Daemon> daemonSupplier) {
    LogSetup.apply(format);
    Daemon daemon = daemonSupplier.get();
    Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(() -> shutDown(daemon)));
    System.out.println(daemon.start());
    awaitInterrupt();
    return ResultCode.OK.number();
  }

  private static void awaitInterrupt() {
    try {
      Thread.currentThread().join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Shuts the daemon down and halts the process. Without the explicit halt, a shutdown by signal
   * would end with the exit status of the signal instead of success.
   */
  private static void shutDown(Daemon daemon) {
    try {
      daemon.close();
      Runtime.getRuntime().halt(ResultCode.OK.number());
    } catch (RuntimeException failure) {
      LOG.errorf(failure, "graceful shutdown failed");
      Runtime.getRuntime().halt(FAILED_SHUTDOWN_EXIT_STATUS);
    }
  }
}
