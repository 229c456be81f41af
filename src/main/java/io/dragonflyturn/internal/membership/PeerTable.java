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

/** The peers of a replica that sent a heartbeat lately, and the entries that they serve. */
public final class PeerTable {
  private static final Duration REMEMBERED = Duration.ofMinutes(1);

  private final int listedPeers;
  private final Duration timeout;
  private final InstantSource clock;
  private final Map<String, Seen> peers = new HashMap<>();
  private final Map<String, Instant> ended = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param listedPeers the number of other replicas that the settings name
   * @param timeout how long a peer counts as live after its last heartbeat
   * @param clock a monotonic clock
   */
  public PeerTable(int listedPeers, Duration timeout, InstantSource clock) {
    this.listedPeers = listedPeers;
    this.timeout = timeout;
    this.clock = clock;
  }

  /** Notes a heartbeat. A new incarnation at an address replaces the old one. */
  public synchronized void record(PeerStatus status) {
    peers
        .values()
        .removeIf(
            seen ->
                seen.status.address().equals(status.address())
                    && !seen.status.incarnation().equals(status.incarnation()));
    peers.put(status.incarnation(), new Seen(status, clock.instant()));
    ended.remove(status.incarnation());
  }

  /** Notes that an address refuses connections: the process that listened there has ended. */
  public synchronized void recordConnectionRefused(String address) {
    Instant now = clock.instant();
    ended.values().removeIf(at -> at.isBefore(now.minus(REMEMBERED)));
    peers.values().stream()
        .map(Seen::status)
        .filter(status -> status.address().equals(address))
        .forEach(status -> ended.putIfAbsent(status.incarnation(), now));
  }

  /** Returns since when a replica is known to have ended; empty where it may live. */
  public synchronized Optional<Instant> endedSince(String incarnation) {
    return Optional.ofNullable(ended.get(incarnation));
  }

  /** Returns the peers that are live now. */
  public synchronized List<PeerStatus> live() {
    Instant oldest = clock.instant().minus(timeout);
    peers.values().removeIf(seen -> seen.at.isBefore(oldest));
    return peers.values().stream().map(Seen::status).toList();
  }

  /**
   * Returns whether no replica can reach the log, as far as this one can tell: at least half of the
   * listed peers are live, and none of them reaches it.
   */
  public boolean isLogOutageForAll() {
    List<PeerStatus> live = live();
    boolean enough = live.size() * 2 >= listedPeers;
    return enough && live.stream().noneMatch(PeerStatus::logReachable);
  }

  /** Returns the entries that live peers serve. */
  public List<EntryPresence> entries() {
    List<EntryPresence> entries = new ArrayList<>();
    for (PeerStatus peer : live()) {
      entries.addAll(peer.entries());
    }
    return entries;
  }

  /**
   * Returns the rank of a replica among the live ones in the order of their incarnations, from 0.
   */
  public int rankOf(String incarnation) {
    return (int)
        live().stream().filter(peer -> peer.incarnation().compareTo(incarnation) < 0).count();
  }

  private record Seen(PeerStatus status, Instant at) {}
}
