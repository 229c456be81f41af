package io.dragonflyturn.internal.log;

import java.time.Duration;

/**
 * The settings with which a replica reads and writes the log.
 *
 * @param writer the incarnation of this process, unique for each start
 * @param region the region of this replica
 * @param readWait how long a read waits for new batches; limits the age of the view while the log
 *     is idle
 * @param readInterval the minimum interval between reads, so that batches accumulate under load
 * @param readTimeout the time after which a replica with a fresh view abandons a read and uses a
 *     peer; the sum of this timeout and {@code readWait} must be less than the freshness bound
 * @param appendTimeout the time after which the answer of an append is considered lost
 * @param proposalTimeout how long a proposal may wait to be appended before it is rejected
 * @param queueCapacity the maximum number of open proposals
 * @param maxBatchRecords the maximum number of records in one append
 * @param maxBatchBytes the size in bytes above which a batch is split
 * @param appendsPerSecond the sustained append rate of this writer
 * @param appendBurst the number of appends that are not delayed after an idle period
 * @param retryDelay the mean delay after the first failed call of the log
 * @param seed the seed of the jitter of delays
 * @param snapshots the snapshot settings
 */
public record ReplicaSettings(
    String writer,
    String region,
    Duration readWait,
    Duration readInterval,
    Duration readTimeout,
    Duration appendTimeout,
    Duration proposalTimeout,
    int queueCapacity,
    int maxBatchRecords,
    int maxBatchBytes,
    int appendsPerSecond,
    int appendBurst,
    Duration retryDelay,
    long seed,
    SnapshotSettings snapshots) {

  /** Returns the default settings for a writer in a region. */
  public static ReplicaSettings of(String writer, String region) {
    return new ReplicaSettings(
        writer,
        region,
        Duration.ofMillis(400),
        Duration.ofMillis(5),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        8192,
        512,
        512 * 1024,
        40,
        10,
        Duration.ofMillis(100),
        writer.hashCode(),
        SnapshotSettings.of(writer.hashCode()));
  }
}
