package io.dragonflyturn.internal.log;

import java.time.Duration;

/**
 * The settings that determine when snapshots are written and how they are split.
 *
 * @param interval the interval between snapshots; must be well below the retention of the log
 * @param maxBatches the number of batches after which a snapshot is written before the interval
 *     ends
 * @param maxJitter the maximum random delay before a replica claims a snapshot that is due
 * @param chunkBytes the maximum size of the chunks of a snapshot, in bytes
 * @param seed the seed of the jitter
 */
public record SnapshotSettings(
    Duration interval, long maxBatches, Duration maxJitter, int chunkBytes, long seed) {

  /** Returns the default settings with the given seed for the jitter. */
  public static SnapshotSettings of(long seed) {
    return new SnapshotSettings(
        Duration.ofSeconds(60), 20_000, Duration.ofSeconds(3), 256 * 1024, seed);
  }
}
