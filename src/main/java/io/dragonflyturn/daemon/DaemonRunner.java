package io.dragonflyturn.daemon;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.logging.LogSetup;
import io.dragonflyturn.internal.settings.LogFormat;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jboss.logging.Logger;

/** Runs a daemon until the process is told to stop, then stops it gracefully. */
final class DaemonRunner {
  private static final Logger LOG = Logger.getLogger(DaemonRunner.class);
  private static final int FAILED_SHUTDOWN_EXIT_STATUS = 1;

  private DaemonRunner() {}

  /** Runs a process and returns its exit status, also where its settings are wrong. */
  @SuppressWarnings("SystemOut") // Faults in settings are for the person who starts the process.
  static int main(ToIntFunction<String[]> process, String[] arguments) {
    try {
      return process.applyAsInt(arguments);
    } catch (DragonflyturnException failure) {
      System.err.println(failure.getMessage());
      return failure.code().exitStatus();
    }
  }

  /** Starts a daemon and returns only when the process ends. */
  @SuppressWarnings("SystemOut") // The ready line is the interface to the starting process.
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

  /** A stop by signal would end with the signal's status, but a graceful stop is a success. */
  private static void shutDown(Daemon daemon) {
    try {
      daemon.close();
      Runtime.getRuntime().halt(ResultCode.OK.number());
    } catch (RuntimeException failure) {
      LOG.errorf(failure, "the stop was not graceful");
      Runtime.getRuntime().halt(FAILED_SHUTDOWN_EXIT_STATUS);
    }
  }
}
