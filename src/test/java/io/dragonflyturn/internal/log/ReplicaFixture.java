package io.dragonflyturn.internal.log;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Starts replicas that share one log, and closes them. */
final class ReplicaFixture implements AutoCloseable {
  static final Duration TIMEOUT = Duration.ofSeconds(20);

  final InMemoryPlatformLog log = new InMemoryPlatformLog();
  private final List<ReplicatedState> replicas = new ArrayList<>();

  static ReplicaSettings settings(String writer) {
    return settings(writer, SnapshotSettings.of(1));
  }

  static ReplicaSettings settings(String writer, SnapshotSettings snapshots) {
    return settings(writer, snapshots, Duration.ofMillis(50));
  }

  static ReplicaSettings settings(String writer, SnapshotSettings snapshots, Duration readWait) {
    return new ReplicaSettings(
        writer,
        "region",
        readWait,
        Duration.ZERO,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        1000,
        100,
        64 * 1024,
        200,
        10,
        Duration.ofMillis(5),
        1,
        snapshots);
  }

  ReplicatedState start(String writer) {
    return start(settings(writer), log, PeerLog.NONE);
  }

  ReplicatedState start(ReplicaSettings settings, PlatformLog replicaLog, PeerLog peers) {
    return start(settings, replicaLog, peers, StateSettings.DEFAULT);
  }

  ReplicatedState start(
      ReplicaSettings settings,
      PlatformLog replicaLog,
      PeerLog peers,
      StateSettings stateSettings) {
    ReplicatedState replica =
        new ReplicatedState(
            replicaLog,
            peers,
            settings,
            stateSettings,
            Clock.systemUTC(),
            NanosecondClock.SYSTEM,
            new MetricRegistry());
    replicas.add(replica);
    replica.start();
    return replica;
  }

  SnapshotStore snapshotStore(int chunkBytes) {
    return LogSnapshots.store(log, chunkBytes);
  }

  /** Waits until a condition is true, and fails after the timeout. */
  static void awaitUntil(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanoseconds = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanoseconds > 0) {
        throw new AssertionError("The condition did not become true within the timeout.");
      }
      Thread.sleep(2);
    }
  }

  static ControlRecord claim(String key) {
    return new ControlRecord.RequestClaimed(key, "customer", "entry", System.currentTimeMillis());
  }

  static ControlRecord configuration(long baseVersion, String customer) {
    Configuration configuration =
        new Configuration(
            List.of(new Customer(customer, List.of(), 0, Map.of())),
            List.of(),
            Map.of(),
            List.of());
    return new ControlRecord.ConfigurationChanged(
        baseVersion, configuration, "operator", "Sets " + customer + ".");
  }

  static ProposalOutcome await(CompletableFuture<ProposalOutcome> future) throws Exception {
    return future.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    log.stop(false);
    replicas.forEach(ReplicatedState::close);
  }
}
