package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Splits the request slots of workers among entries by their demand.
 *
 * <p>The rule: at each worker, the sum over all entries of the larger of the new allotment and what
 * the entry may still hold is at most the worker's slots. So an entry grows only into slots that
 * nobody may still use, and slots move from one entry to another in two steps: the first allotment
 * shrinks one entry, and a later one, when the old one has drained, lets the other grow.
 */
public final class CreditAllocator {
  private CreditAllocator() {}

  /**
   * Returns slots by entry incarnation and worker name.
   *
   * @param workers the workers that serve requests
   * @param demand the live entries with their weight, for instance their requests in flight and
   *     waiting; a weight below one counts as one
   * @param held what entries may still use by earlier allotments, those of dead entries included
   */
  public static Map<String, Map<String, Integer>> allocate(
      List<Worker> workers, Map<String, Integer> demand, Map<String, Map<String, Integer>> held) {
    List<String> entries = demand.keySet().stream().sorted().toList();
    Map<String, Map<String, Integer>> allotment = new TreeMap<>();
    entries.forEach(entry -> allotment.put(entry, new TreeMap<>()));
    for (int index = 0; index < workers.size(); index++) {
      Worker worker = workers.get(index);
      Map<String, Integer> shares = shares(entries, demand, slotsOf(worker), index);
      limitToFree(worker, shares, held, allotment);
    }
    return allotment;
  }

  private static int slotsOf(Worker worker) {
    return worker.leaving() ? 0 : worker.requestSlots();
  }

  /** Splits slots by weight; what is left over goes round by worker, so that no entry starves. */
  private static Map<String, Integer> shares(
      List<String> entries, Map<String, Integer> demand, int slots, int workerIndex) {
    long total = entries.stream().mapToLong(entry -> weight(demand, entry)).sum();
    Map<String, Integer> shares = new HashMap<>();
    int left = slots;
    for (String entry : entries) {
      int share = (int) (slots * weight(demand, entry) / total);
      shares.put(entry, share);
      left -= share;
    }
    for (int extra = 0; extra < left; extra++) {
      String entry = entries.get((workerIndex * slots + extra) % entries.size());
      shares.merge(entry, 1, Integer::sum);
    }
    return shares;
  }

  private static long weight(Map<String, Integer> demand, String entry) {
    return Math.max(1, demand.getOrDefault(entry, 1));
  }

  private static void limitToFree(
      Worker worker,
      Map<String, Integer> shares,
      Map<String, Map<String, Integer>> held,
      Map<String, Map<String, Integer>> allotment) {
    int free =
        worker.requestSlots()
            - held.keySet().stream().mapToInt(entry -> heldAt(held, entry, worker)).sum();
    List<String> ordered = new ArrayList<>(shares.keySet());
    ordered.sort(null);
    for (String entry : ordered) {
      int share = shares.getOrDefault(entry, 0);
      int kept = Math.min(share, heldAt(held, entry, worker));
      int growth = Math.max(0, Math.min(share - kept, kept < share ? free : 0));
      free -= growth;
      int slots = kept + growth;
      if (slots > 0) {
        allotment.computeIfAbsent(entry, unused -> new TreeMap<>()).put(worker.name(), slots);
      }
    }
  }

  private static int heldAt(Map<String, Map<String, Integer>> held, String entry, Worker worker) {
    return held.getOrDefault(entry, Map.of()).getOrDefault(worker.name(), 0);
  }
}
