package io.dragonflyturn.daemon;

import io.dragonflyturn.internal.settings.SchedulerSettings;

/** Main class of the scheduler process. */
public final class SchedulerMain {
  private SchedulerMain() {}

  /** Runs the process until it receives a termination signal. */
  public static void main(String[] arguments) {
    System.exit(DaemonRunner.main(SchedulerMain::run, arguments));
  }

  /**
   * Runs the process until it receives a termination signal.
   *
   * @return the exit status
   * @throws io.dragonflyturn.DragonflyturnException if the settings are invalid
   */
  public static int run(String[] arguments) {
    SchedulerSettings settings = SchedulerSettings.parse(arguments, System.getenv());
    return DaemonRunner.run(settings.logFormat(), () -> create(settings));
  }

  /** Creates a daemon without starting it, for embedding in another process. */
  public static Daemon create(SchedulerSettings settings) {
    return DaggerSchedulerComponent.factory().create(settings).daemon();
  }
}
