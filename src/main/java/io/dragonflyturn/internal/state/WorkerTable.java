package io.dragonflyturn.internal.state;

import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Worker;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The listed workers, their held accelerators, and the quarantine.
 *
 * <p>Accelerators remain held until the gang releases them, even if the worker is no longer listed.
 */
final class WorkerTable {
  private final SortedMap<String, Worker> workers = new TreeMap<>();
  private final Map<String, BitSet> heldByWorker = new TreeMap<>();
  private final SortedMap<String, String> quarantine = new TreeMap<>();

  void update(ControlRecord.WorkersListed listing) {
    listing.removed().forEach(workers::remove);
    listing.changed().forEach(worker -> workers.put(worker.name(), worker));
  }

  void changeQuarantine(String worker, boolean quarantined, String reason) {
    if (quarantined) {
      quarantine.put(worker, reason);
    } else {
      quarantine.remove(worker);
    }
  }

  @Nullable Worker find(String name) {
    return workers.get(name);
  }

  Collection<Worker> all() {
    return Collections.unmodifiableCollection(workers.values());
  }

  SortedMap<String, String> quarantine() {
    return Collections.unmodifiableSortedMap(quarantine);
  }

  /** Returns the free accelerators of a worker; empty if the worker is not listed. */
  BitSet free(String name) {
    Worker worker = workers.get(name);
    BitSet freeAccelerators = new BitSet();
    if (worker == null) {
      return freeAccelerators;
    }
    freeAccelerators.set(0, worker.accelerators());
    BitSet held = heldByWorker.get(name);
    if (held != null) {
      freeAccelerators.andNot(held);
    }
    return freeAccelerators;
  }

  boolean isHeld(String worker, int accelerator) {
    BitSet held = heldByWorker.get(worker);
    return held != null && held.get(accelerator);
  }

  void hold(List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      if (!placement.accelerators().isEmpty()) {
        BitSet held = heldByWorker.computeIfAbsent(placement.worker(), name -> new BitSet());
        placement.accelerators().forEach(held::set);
      }
    }
  }

  void release(List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      BitSet held = heldByWorker.get(placement.worker());
      if (held == null) {
        continue;
      }
      placement.accelerators().forEach(held::clear);
      if (held.isEmpty()) {
        heldByWorker.remove(placement.worker());
      }
    }
  }

  void restore(List<Worker> savedWorkers, SortedMap<String, String> savedQuarantine) {
    workers.clear();
    savedWorkers.forEach(worker -> workers.put(worker.name(), worker));
    quarantine.clear();
    quarantine.putAll(savedQuarantine);
    heldByWorker.clear();
  }

  /** Returns the names of all listed workers. */
  SortedSet<String> names() {
    return new TreeSet<>(workers.keySet());
  }
}
