package io.dragonflyturn.daemon;

import io.dragonflyturn.internal.settings.EntrySettings;

/** Main class of the entry process. */
public final class EntryMain {
  private EntryMain() {}

  /** Runs the process until it receives a termination signal. */
  public static void main(String[] arguments) {
    System.exit(DaemonRunner.main(EntryMain::run, arguments));
  }

  /**
   * Runs the process until it receives a termination signal.
   *
   * @return the exit status
   * @throws io.dragonflyturn.DragonflyturnException if the settings are invalid
   */
  public static int run(String[] arguments) {
    EntrySettings settings = EntrySettings.parse(arguments, System.getenv());
    return DaemonRunner.run(settings.logFormat(), () -> create(settings));
  }

  /** Creates a daemon without starting it, for embedding in another process. */
  public static Daemon create(EntrySettings settings) {
    return DaggerEntryComponent.factory().create(settings).daemon();
  }
}
