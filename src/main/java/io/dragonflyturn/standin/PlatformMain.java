package io.dragonflyturn.standin;

import java.time.InstantSource;
import org.kohsuke.args4j.Option;

/**
 * Runs the platform stand-in as a process; prints {@code ready platform ADDRESS} once it accepts
 * connections.
 */
public final class PlatformMain {
  @Option(name = "--port", usage = "port of the HTTP interface; 0 selects a free port")
  private int port = PlatformSettings.DEFAULT.port();

  @Option(name = "--appends-per-second", usage = "maximum number of appends per second")
  private double appendsPerSecond = PlatformSettings.DEFAULT.appendsPerSecond();

  @Option(name = "--maximum-batches", usage = "maximum number of batches retained per stream")
  private int maximumBatches = PlatformSettings.DEFAULT.maximumBatches();

  @Option(name = "--retention-millis", usage = "retention time of a batch, in milliseconds")
  private long retentionMillis = PlatformSettings.DEFAULT.retentionMillis();

  @Option(name = "--list-lag-millis", usage = "delay of the instance list, in milliseconds")
  private long listLagMillis = PlatformSettings.DEFAULT.listLagMillis();

  @Option(
      name = "--registration-millis",
      usage = "how long a registration lasts without renewal, in milliseconds")
  private long registrationMillis = PlatformSettings.DEFAULT.registrationMillis();

  private PlatformMain() {}

  /** Starts the stand-in and serves until the process ends. */
  @SuppressWarnings("SystemOut") // The parent process waits for the ready line.
  public static void main(String[] arguments) throws InterruptedException {
    PlatformMain main = new PlatformMain();
    ToolArguments.read(main, arguments);
    try (PlatformStandin platform = new PlatformStandin(main.settings(), InstantSource.system())) {
      platform.start();
      System.out.println("ready platform " + platform.address());
      Thread.currentThread().join();
    }
  }

  private PlatformSettings settings() {
    return new PlatformSettings(
        port, appendsPerSecond, maximumBatches, retentionMillis, listLagMillis, registrationMillis);
  }
}
