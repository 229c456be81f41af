package io.dragonflyturn.daemon;

import io.dragonflyturn.internal.settings.InstanceSettings;

/** Main class of the process that contains both an entry and a scheduler. */
public final class InstanceMain {
  private InstanceMain() {}

  /** Runs the process until it receives a termination signal. */
  public static void main(String[] arguments) {
    System.exit(DaemonRunner.main(InstanceMain::run, arguments));
  }

  /**
   * Runs the process until it receives a termination signal.
   *
   * @return the exit status
   * @throws io.dragonflyturn.DragonflyturnException if the settings are invalid
   */
  public static int run(String[] arguments) {
    InstanceSettings settings = InstanceSettings.parse(arguments, System.getenv());
    return DaemonRunner.run(settings.entry().logFormat(), () -> create(settings));
  }

  /** Creates a daemon without starting it, for embedding in another process. */
  public static Daemon create(InstanceSettings settings) {
    return DaggerInstanceComponent.factory().create(settings).daemon();
  }
}
