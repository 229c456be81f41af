package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that the allocations of request slots never exceed the slots of a worker, and that no slot
 * stays unused.
 */
class CreditAllocatorProperties {
  private static final String SEED = "20260101";
  private static final int STEPS = 40;

  /**
   * Entries join, die, change their demand, learn of allocations late, and use every slot that they
   * know of; requests end at any time until the drain time.
   */
  @Property(tries = 300, seed = SEED)
  void should_never_have_more_in_flight_than_a_worker_has_slots(
      @ForAll @IntRange(min = 1, max = 9) int entryCount,
      @ForAll @IntRange(min = 1, max = 8) int slots,
      @ForAll long scenarioSeed) {
    Random random = new Random(scenarioSeed);
    List<Worker> workers = workers(3, slots);
    List<SimulatedAttempt> attempts = new ArrayList<>();
    Instant now = Instant.EPOCH;
    CreditHistory history = new CreditHistory(RequestSettings.DEFAULT, Map.of(), now);
    Map<String, Map<String, Integer>> previous = Map.of();
    for (int step = 0; step < STEPS; step++) {
      Map<String, Map<String, Integer>> next =
          CreditAllocator.allocate(workers, demand(entryCount, random), history.usableSlots(now));
      history.replace(next, now);
      List<Map<String, Map<String, Integer>>> knownAllocations = List.of(previous, next);
      useAllSlots(knownAllocations, attempts, now, random);
      assertWithinSlots(workers, attempts);
      previous = next;
      now = now.plusSeconds(random.nextInt(40));
      Instant current = now;
      attempts.removeIf(attempt -> !current.isBefore(attempt.endsBy()) || random.nextInt(3) == 0);
    }
  }

  @Property(tries = 200, seed = SEED)
  void should_allocate_every_slot_when_none_is_in_use(
      @ForAll @IntRange(min = 1, max = 9) int entryCount,
      @ForAll @IntRange(min = 1, max = 8) int slots,
      @ForAll long scenarioSeed) {
    Map<String, Map<String, Integer>> allocation =
        CreditAllocator.allocate(
            workers(30, slots), demand(entryCount, new Random(scenarioSeed)), Map.of());

    int allocated =
        allocation.values().stream()
            .flatMap(each -> each.values().stream())
            .mapToInt(Integer::intValue)
            .sum();
    assertThat(allocated).isEqualTo(30 * slots);
  }

  @Property(tries = 100, seed = SEED)
  void should_reallocate_the_slots_of_a_dead_entry_after_the_drain_time(
      @ForAll @IntRange(min = 2, max = 8) int entryCount) {
    List<Worker> workers = workers(4, 8);
    Map<String, Integer> all = new HashMap<>();
    IntStream.range(0, entryCount).forEach(index -> all.put("entry-" + index, 1));
    Map<String, Map<String, Integer>> before = CreditAllocator.allocate(workers, all, Map.of());
    CreditHistory history = new CreditHistory(RequestSettings.DEFAULT, before, Instant.EPOCH);
    all.remove("entry-0");
    history.replace(
        CreditAllocator.allocate(workers, all, history.usableSlots(Instant.EPOCH)), Instant.EPOCH);

    Instant drained =
        Instant.EPOCH.plus(CreditHistory.drainTime(RequestSettings.DEFAULT)).plusMillis(1);
    Map<String, Map<String, Integer>> after =
        CreditAllocator.allocate(workers, all, history.usableSlots(drained));

    assertThat(after.values().stream().flatMap(each -> each.values().stream()))
        .satisfies(slots -> assertThat(slots.stream().mapToInt(each -> each).sum()).isEqualTo(32));
  }

  /**
   * Uses all slots of the previous or the next allocation, like an entry that may not have learned
   * of the change yet.
   */
  private void useAllSlots(
      List<Map<String, Map<String, Integer>>> knownAllocations,
      List<SimulatedAttempt> attempts,
      Instant now,
      Random random) {
    Duration lifetime = CreditHistory.drainTime(RequestSettings.DEFAULT);
    knownAllocations
        .get(random.nextInt(knownAllocations.size()))
        .forEach(
            (entry, slots) ->
                slots.forEach(
                    (worker, count) -> {
                      long inFlight =
                          attempts.stream().filter(each -> each.isAt(entry, worker)).count();
                      for (long sent = inFlight; sent < count; sent++) {
                        attempts.add(new SimulatedAttempt(entry, worker, now.plus(lifetime)));
                      }
                    }));
  }

  private static void assertWithinSlots(List<Worker> workers, List<SimulatedAttempt> attempts) {
    for (Worker worker : workers) {
      assertThat(attempts)
          .filteredOn(attempt -> attempt.worker().equals(worker.name()))
          .hasSizeLessThanOrEqualTo(worker.requestSlots());
    }
  }

  private static Map<String, Integer> demand(int entryCount, Random random) {
    Map<String, Integer> demand = new HashMap<>();
    demand.put("entry-0", random.nextInt(50));
    for (int index = 1; index < entryCount; index++) {
      if (random.nextInt(4) > 0) {
        demand.put("entry-" + index, random.nextInt(50));
      }
    }
    return demand;
  }

  private static List<Worker> workers(int count, int slots) {
    return IntStream.range(0, count)
        .mapToObj(
            index ->
                new Worker(
                    "worker-" + index,
                    "127.0.0.1:" + index,
                    "domain",
                    "rack",
                    8,
                    30,
                    1,
                    slots,
                    false,
                    Map.of()))
        .toList();
  }

  private record SimulatedAttempt(String entry, String worker, Instant endsBy) {
    boolean isAt(String someEntry, String someWorker) {
      return entry.equals(someEntry) && worker.equals(someWorker);
    }
  }
}
