package io.dragonflyturn.standin;

/**
 * Settings of the platform stand-in.
 *
 * @param port the port of the HTTP interface; 0 selects a free port
 * @param appendsPerSecond the maximum number of appends per second over all streams
 * @param maximumBatches the maximum number of batches retained per stream
 * @param retentionMillis the retention time of a batch, in milliseconds
 * @param listLagMillis the delay of the instance list, in milliseconds
 * @param registrationMillis how long a registration lasts without renewal, in milliseconds
 */
public record PlatformSettings(
    int port,
    double appendsPerSecond,
    int maximumBatches,
    long retentionMillis,
    long listLagMillis,
    long registrationMillis) {
  /** Settings for tests and the demo: a free port, a short list delay, and long retention. */
  public static final PlatformSettings DEFAULT =
      new PlatformSettings(0, 500, 100_000, 3_600_000, 300, 3_000);

  /** Returns a copy with another port. */
  public PlatformSettings withPort(int newPort) {
    return new PlatformSettings(
        newPort,
        appendsPerSecond,
        maximumBatches,
        retentionMillis,
        listLagMillis,
        registrationMillis);
  }

  /** Returns a copy with another limit on the retained batches per stream. */
  public PlatformSettings withMaximumBatches(int newMaximum) {
    return new PlatformSettings(
        port, appendsPerSecond, newMaximum, retentionMillis, listLagMillis, registrationMillis);
  }
}
