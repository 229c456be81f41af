package io.dragonflyturn.internal.log;

import java.time.Duration;

/**
 * How a replica reads and writes the log.
 *
 * @param writer the incarnation of this process, unique for each start
 * @param region the region that this replica belongs to
 * @param readWait how long a read waits for news; bounds how old the log age gets while idle
 * @param readInterval the least time between two reads, so that batches gather under load
 * @param readTimeout how long a replica with fresh news lets a read take before it asks a peer;
 *     with the wait of the read before, it has to fit into the freshness bound
 * @param appendTimeout how long an append may take before its answer counts as lost
 * @param proposalTimeout how long a proposal may wait to be appended before it is refused
 * @param queueCapacity the most proposals that may be open at once
 * @param maxBatchRecords the most records that one append carries
 * @param maxBatchBytes the size in bytes above which a batch is split
 * @param appendsPerSecond the appends a second that this writer may make over time
 * @param appendBurst the appends that it may make at once after a quiet time
 * @param retryDelay the mean wait after a failed call of the log
 * @param seed the seed of the jitter of waits
 * @param snapshots when snapshots are taken
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

  /** Returns the usual settings of a writer in a region. */
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
