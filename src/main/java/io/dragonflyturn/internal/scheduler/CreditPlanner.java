package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.request.CreditAllocator;
import io.dragonflyturn.internal.request.CreditHistory;
import io.dragonflyturn.internal.request.RequestSettings;
import io.dragonflyturn.internal.request.ShutdownRecord;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Splits the request slots of workers among the live entries.
 *
 * <p>Slots move from one entry to another only once the first no longer uses them: a live entry
 * says so itself, one that stopped as planned has said so in the log, and a lost one is given
 * {@link #LOST_ENTRY_DRAIN}. What a lost entry sent before may run longer than that; the worker
 * then refuses what is over its slots before running it.
 */
final class CreditPlanner {
  /** How long after an entry was lost its requests are taken to be in flight. */
  private static final Duration LOST_ENTRY_DRAIN = Duration.ofSeconds(5);

  private final Supplier<List<EntryPresence>> entries;
  private final InstantSource monotonic;
  private final RequestSettings settings;
  private @Nullable CreditHistory history;
  private long historyTerm;
  private Map<String, Map<String, Integer>> inForce = Map.of();

  CreditPlanner(Supplier<List<EntryPresence>> entries, InstantSource monotonic) {
    this.entries = entries;
    this.monotonic = monotonic;
    this.settings = RequestSettings.DEFAULT.withMaximumDeadline(LOST_ENTRY_DRAIN);
  }

  /** Returns the record that brings the allotment up to the live entries, or empty. */
  Optional<ControlRecord> change(ControlState state) {
    Instant now = monotonic.instant();
    CreditHistory known = historyOf(state, now);
    List<EntryPresence> live = entries.get().stream().filter(entry -> !entry.draining()).toList();
    if (live.isEmpty() || !known.isComplete(now) && !allSettled(live)) {
      return Optional.empty();
    }
    Map<String, Map<String, Integer>> wanted =
        CreditAllocator.allocate(workers(state), demand(live), held(state, known, live, now));
    return wanted.equals(inForce)
        ? Optional.empty()
        : Optional.of(new ControlRecord.CreditsAllocated(wanted));
  }

  /**
   * Takes note of the allotment in force, also when another leader or an entry's loss changed it.
   */
  private CreditHistory historyOf(ControlState state, Instant now) {
    Map<String, Map<String, Integer>> current = copy(state);
    CreditHistory known = history;
    if (known == null || historyTerm != state.leadership().term()) {
      known = new CreditHistory(settings, current, now);
      historyTerm = state.leadership().term();
    } else if (!current.equals(inForce)) {
      known.replace(current, now);
    }
    history = known;
    inForce = current;
    return known;
  }

  private Map<String, Map<String, Integer>> held(
      ControlState state, CreditHistory known, List<EntryPresence> live, Instant now) {
    Map<String, Map<String, Integer>> held = new HashMap<>(known.usableSlots(now));
    held.keySet().removeIf(entry -> ShutdownRecord.isRecordedIn(state, entry));
    for (EntryPresence entry : live) {
      if (isSettled(entry)) {
        held.put(entry.incarnation(), slotsOf(entry));
      }
    }
    return held;
  }

  private boolean allSettled(List<EntryPresence> live) {
    return live.stream().allMatch(this::isSettled);
  }

  private boolean isSettled(EntryPresence entry) {
    return entry.settledCredits() == EntryPresence.nameOf(slotsOf(entry));
  }

  private Map<String, Integer> slotsOf(EntryPresence entry) {
    return inForce.getOrDefault(entry.incarnation(), Map.of());
  }

  private static Map<String, Integer> demand(List<EntryPresence> live) {
    Map<String, Integer> demand = new TreeMap<>();
    live.forEach(entry -> demand.put(entry.incarnation(), 1));
    return demand;
  }

  private static List<Worker> workers(ControlState state) {
    List<Worker> workers = new ArrayList<>(state.workers());
    workers.sort(Comparator.comparing(Worker::name));
    return workers;
  }

  private static Map<String, Map<String, Integer>> copy(ControlState state) {
    Map<String, Map<String, Integer>> copy = new TreeMap<>();
    state.credits().forEach((entry, slots) -> copy.put(entry, new TreeMap<>(slots)));
    return copy;
  }
}
