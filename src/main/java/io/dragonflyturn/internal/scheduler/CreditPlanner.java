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
 * Divides the request slots of workers among the live entries.
 *
 * <p>Slots move from one entry to another only once the first entry no longer uses them. A live
 * entry reports this in its presence, an entry that shut down cleanly has recorded it in the log,
 * and a lost entry is assumed to have drained after {@link #LOST_ENTRY_DRAIN}. Requests that a lost
 * entry sent may run longer than that; the worker then rejects requests beyond its slots before
 * running them.
 */
final class CreditPlanner {
  /** How long the requests of a lost entry are assumed to be in flight. */
  private static final Duration LOST_ENTRY_DRAIN = Duration.ofSeconds(5);

  private final Supplier<List<EntryPresence>> entries;
  private final InstantSource monotonic;
  private final RequestSettings settings;
  private @Nullable CreditHistory history;
  private long historyTerm;
  private Map<String, Map<String, Integer>> currentCredits = Map.of();

  CreditPlanner(Supplier<List<EntryPresence>> entries, InstantSource monotonic) {
    this.entries = entries;
    this.monotonic = monotonic;
    this.settings = RequestSettings.DEFAULT.withMaximumDeadline(LOST_ENTRY_DRAIN);
  }

  /**
   * Returns a record that adapts the allotment to the live entries, or empty if it needs no change
   * or cannot be changed yet.
   */
  Optional<ControlRecord> change(ControlState state) {
    Instant now = monotonic.instant();
    CreditHistory creditHistory = historyOf(state, now);
    List<EntryPresence> live = entries.get().stream().filter(entry -> !entry.draining()).toList();
    if (live.isEmpty() || !creditHistory.isComplete(now) && !allSettled(live)) {
      return Optional.empty();
    }
    Map<String, Map<String, Integer>> target =
        CreditAllocator.allocate(
            workers(state), demand(live), held(state, creditHistory, live, now));
    return target.equals(currentCredits)
        ? Optional.empty()
        : Optional.of(new ControlRecord.CreditsAllocated(target));
  }

  /**
   * Returns the credit history, updated with the current allotment. The allotment may have been
   * changed by another leader or by the loss of an entry.
   */
  private CreditHistory historyOf(ControlState state, Instant now) {
    Map<String, Map<String, Integer>> current = copy(state);
    CreditHistory creditHistory = history;
    if (creditHistory == null || historyTerm != state.leadership().term()) {
      creditHistory = new CreditHistory(settings, current, now);
      historyTerm = state.leadership().term();
    } else if (!current.equals(currentCredits)) {
      creditHistory.replace(current, now);
    }
    history = creditHistory;
    currentCredits = current;
    return creditHistory;
  }

  private Map<String, Map<String, Integer>> held(
      ControlState state, CreditHistory creditHistory, List<EntryPresence> live, Instant now) {
    Map<String, Map<String, Integer>> held = new HashMap<>(creditHistory.usableSlots(now));
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
    return entry.settledCredits() == EntryPresence.hashOf(slotsOf(entry));
  }

  private Map<String, Integer> slotsOf(EntryPresence entry) {
    return currentCredits.getOrDefault(entry.incarnation(), Map.of());
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
