package io.dragonflyturn.internal.membership;

import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.PeerStatus;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the live peers of a replica by their heartbeats, and the entries they serve. Thread-safe.
 */
public final class PeerTable {
  private static final Duration ENDED_PEER_RETENTION = Duration.ofMinutes(1);

  private final int configuredPeerCount;
  private final Duration timeout;
  private final InstantSource clock;
  private final Map<String, LivePeer> peers = new HashMap<>();
  private final Map<String, Instant> endedAt = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param configuredPeerCount the number of other replicas in the settings
   * @param timeout how long a peer is considered live after its last heartbeat
   * @param clock a monotonic clock
   */
  public PeerTable(int configuredPeerCount, Duration timeout, InstantSource clock) {
    this.configuredPeerCount = configuredPeerCount;
    this.timeout = timeout;
    this.clock = clock;
  }

  /** Records a heartbeat. A new incarnation at an address replaces the previous one. */
  public synchronized void record(PeerStatus status) {
    peers
        .values()
        .removeIf(
            peer ->
                peer.status.address().equals(status.address())
                    && !peer.status.incarnation().equals(status.incarnation()));
    peers.put(status.incarnation(), new LivePeer(status, clock.instant()));
    endedAt.remove(status.incarnation());
  }

  /** Records that an address refuses connections, so the process that listened there has ended. */
  public synchronized void recordConnectionRefused(String address) {
    Instant now = clock.instant();
    endedAt.values().removeIf(endTime -> endTime.isBefore(now.minus(ENDED_PEER_RETENTION)));
    peers.values().stream()
        .map(LivePeer::status)
        .filter(status -> status.address().equals(address))
        .forEach(status -> endedAt.putIfAbsent(status.incarnation(), now));
  }

  /** Returns when a replica was found to have ended; empty if it may still be live. */
  public synchronized Optional<Instant> endedAt(String incarnation) {
    return Optional.ofNullable(endedAt.get(incarnation));
  }

  /** Removes the peers that have timed out, and returns the live ones. */
  public synchronized List<PeerStatus> live() {
    Instant cutoff = clock.instant().minus(timeout);
    peers.values().removeIf(peer -> peer.lastSeen.isBefore(cutoff));
    return peers.values().stream().map(LivePeer::status).toList();
  }

  /**
   * Returns whether the log seems unreachable for all replicas: at least half of the configured
   * peers are live, and none of them can reach the log.
   */
  public boolean isLogOutageForAll() {
    List<PeerStatus> live = live();
    boolean enoughLivePeers = live.size() * 2 >= configuredPeerCount;
    return enoughLivePeers && live.stream().noneMatch(PeerStatus::logReachable);
  }

  /** Returns the entries served by live peers. */
  public List<EntryPresence> entries() {
    List<EntryPresence> entries = new ArrayList<>();
    for (PeerStatus peer : live()) {
      entries.addAll(peer.entries());
    }
    return entries;
  }

  /**
   * Returns the rank of a replica, starting at 0, in the order of the incarnations of live peers.
   */
  public int rankOf(String incarnation) {
    return (int)
        live().stream().filter(peer -> peer.incarnation().compareTo(incarnation) < 0).count();
  }

  private record LivePeer(PeerStatus status, Instant lastSeen) {}
}
