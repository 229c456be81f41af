package io.dragonflyturn.internal.state;

import java.time.Duration;

/**
 * The retention limits of the control state.
 *
 * <p>The first {@link ControlRecord.SettingsDecided} in the control stream determines the values
 * for all replicas. The values that a replica is started with are only its proposal.
 *
 * @param requestRetention how long a request key is retained after its creation
 * @param endedJobRetention how long an ended job is retained
 * @param requestFutureTolerance how far the creation time of a request key may be ahead of the
 *     writer's clock
 * @param auditEntries the maximum number of audit entries
 * @param writerWindow how many log offsets a writer may lag before its envelopes are rejected
 */
public record StateSettings(
    Duration requestRetention,
    Duration endedJobRetention,
    Duration requestFutureTolerance,
    int auditEntries,
    long writerWindow) {
  /** The default settings. */
  public static final StateSettings DEFAULT =
      new StateSettings(
          Duration.ofHours(2), Duration.ofHours(6), Duration.ofMinutes(5), 4096, 500_000);
}
