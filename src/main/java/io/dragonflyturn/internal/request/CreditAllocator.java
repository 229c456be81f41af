package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the request slots of workers among entries according to their demand. The slots that an
 * entry is allocated at a worker are its credits: each permits one attempt in flight at that
 * worker.
 *
 * <p>Invariant: at each worker, the sum over all entries of {@code max(new allocation, slots
 * possibly in use)} is at most the number of slots of the worker. An entry is therefore only
 * granted additional slots that no entry may still be using. A slot moves between entries in two
 * steps: one allocation takes it from the first entry, and a later one, after the earlier
 * allocation has drained, grants it to the second.
 */
public final class CreditAllocator {
  private CreditAllocator() {}

  /**
   * Returns the number of slots by entry incarnation and worker name.
   *
   * @param workers the workers that serve requests
   * @param demand the weight of each live entry, such as its number of requests in flight and
   *     waiting; a weight below one counts as one
   * @param inUse the slots that entries may still be using under earlier allocations, by entry and
   *     worker, including entries that are no longer live
   */
  public static Map<String, Map<String, Integer>> allocate(
      List<Worker> workers, Map<String, Integer> demand, Map<String, Map<String, Integer>> inUse) {
    List<String> entries = demand.keySet().stream().sorted().toList();
    Map<String, Map<String, Integer>> allocation = new TreeMap<>();
    entries.forEach(entry -> allocation.put(entry, new TreeMap<>()));
    for (int index = 0; index < workers.size(); index++) {
      Worker worker = workers.get(index);
      Map<String, Integer> shares = shares(entries, demand, slotsOf(worker), index);
      limitToFreeSlots(worker, shares, inUse, allocation);
    }
    return allocation;
  }

  private static int slotsOf(Worker worker) {
    return worker.leaving() ? 0 : worker.requestSlots();
  }

  /**
   * Divides slots by weight. The remainder is assigned round-robin, starting at an entry that
   * depends on the worker, so that every entry gets slots at some worker.
   */
  private static Map<String, Integer> shares(
      List<String> entries, Map<String, Integer> demand, int slots, int workerIndex) {
    long total = entries.stream().mapToLong(entry -> weight(demand, entry)).sum();
    Map<String, Integer> shares = new HashMap<>();
    int remaining = slots;
    for (String entry : entries) {
      int share = (int) (slots * weight(demand, entry) / total);
      shares.put(entry, share);
      remaining -= share;
    }
    for (int extra = 0; extra < remaining; extra++) {
      String entry = entries.get((workerIndex * slots + extra) % entries.size());
      shares.merge(entry, 1, Integer::sum);
    }
    return shares;
  }

  private static long weight(Map<String, Integer> demand, String entry) {
    return Math.max(1, demand.getOrDefault(entry, 1));
  }

  private static void limitToFreeSlots(
      Worker worker,
      Map<String, Integer> shares,
      Map<String, Map<String, Integer>> inUse,
      Map<String, Map<String, Integer>> allocation) {
    int free =
        worker.requestSlots()
            - inUse.keySet().stream().mapToInt(entry -> inUseAt(inUse, entry, worker)).sum();
    List<String> sortedEntries = new ArrayList<>(shares.keySet());
    sortedEntries.sort(null);
    for (String entry : sortedEntries) {
      int share = shares.getOrDefault(entry, 0);
      int kept = Math.min(share, inUseAt(inUse, entry, worker));
      int growth = Math.max(0, Math.min(share - kept, kept < share ? free : 0));
      free -= growth;
      int slots = kept + growth;
      if (slots > 0) {
        allocation.computeIfAbsent(entry, unused -> new TreeMap<>()).put(worker.name(), slots);
      }
    }
  }

  private static int inUseAt(Map<String, Map<String, Integer>> inUse, String entry, Worker worker) {
    return inUse.getOrDefault(entry, Map.of()).getOrDefault(worker.name(), 0);
  }
}
