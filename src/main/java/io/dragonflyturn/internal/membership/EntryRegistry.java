package io.dragonflyturn.internal.membership;

import io.dragonflyturn.internal.protocol.EntryPresence;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks the live entries: those that requested a routing view within the timeout. Thread-safe. */
public final class EntryRegistry {
  private final Duration timeout;
  private final InstantSource clock;
  private final Map<String, LiveEntry> entries = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param timeout how long an entry is considered live after its last request
   * @param clock a monotonic clock
   */
  public EntryRegistry(Duration timeout, InstantSource clock) {
    this.timeout = timeout;
    this.clock = clock;
  }

  /** Records the presence of an entry, and returns whether the entry is new or has changed. */
  public synchronized boolean record(EntryPresence presence) {
    LiveEntry previous =
        entries.put(presence.incarnation(), new LiveEntry(presence, clock.instant()));
    return previous == null || !previous.presence.equals(presence);
  }

  /** Removes the entries that have timed out, and returns the live ones. */
  public synchronized List<EntryPresence> live() {
    Instant cutoff = clock.instant().minus(timeout);
    entries.values().removeIf(entry -> entry.lastSeen.isBefore(cutoff));
    return entries.values().stream().map(LiveEntry::presence).toList();
  }

  private record LiveEntry(EntryPresence presence, Instant lastSeen) {}
}
