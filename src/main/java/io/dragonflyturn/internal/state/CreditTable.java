package io.dragonflyturn.internal.state;

import io.dragonflyturn.model.Worker;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Records how many request slots of each worker are allocated to each entry. The total for a worker
 * never exceeds its slots.
 */
final class CreditTable {
  private final WorkerTable workers;
  private SortedMap<String, TreeMap<String, Integer>> slots = new TreeMap<>();

  CreditTable(WorkerTable workers) {
    this.workers = workers;
  }

  Decision allocate(ControlRecord.CreditsAllocated record) {
    Map<String, Integer> allocated = new HashMap<>();
    SortedMap<String, TreeMap<String, Integer>> newSlots = new TreeMap<>();
    for (Map.Entry<String, Map<String, Integer>> entrySlots : record.slots().entrySet()) {
      newSlots.put(entrySlots.getKey(), new TreeMap<>(entrySlots.getValue()));
      for (Map.Entry<String, Integer> workerSlots : entrySlots.getValue().entrySet()) {
        if (workerSlots.getValue() < 0) {
          return Decision.conflict("A number of request slots is negative.");
        }
        allocated.merge(workerSlots.getKey(), workerSlots.getValue(), Integer::sum);
      }
    }
    for (Map.Entry<String, Integer> workerTotal : allocated.entrySet()) {
      Worker worker = workers.find(workerTotal.getKey());
      if (worker == null || workerTotal.getValue() > worker.requestSlots()) {
        return Decision.conflict(
            "Worker " + workerTotal.getKey() + " does not have that many request slots.");
      }
    }
    slots = newSlots;
    return Decision.ACCEPTED;
  }

  SortedMap<String, Integer> forEntry(String entry) {
    return Collections.unmodifiableSortedMap(slots.getOrDefault(entry, new TreeMap<>()));
  }

  SortedMap<String, TreeMap<String, Integer>> all() {
    return Collections.unmodifiableSortedMap(slots);
  }

  void restore(SortedMap<String, TreeMap<String, Integer>> saved) {
    slots = new TreeMap<>(saved);
  }
}
