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

class CreditAllocatorProperties {
  private static final String SEED = "20260101";
  private static final int STEPS = 40;

  /**
   * Entries come, die, change their demand, learn of allotments late, and fill every slot they know
   * of; requests end at any moment until the drain time.
   */
  @Property(tries = 300, seed = SEED)
  void should_never_have_more_in_flight_than_a_worker_has_slots(
      @ForAll @IntRange(min = 1, max = 9) int entryCount,
      @ForAll @IntRange(min = 1, max = 8) int slots,
      @ForAll long course) {
    Random random = new Random(course);
    List<Worker> workers = workers(3, slots);
    List<Sending> sendings = new ArrayList<>();
    Instant now = Instant.EPOCH;
    CreditHistory history = new CreditHistory(RequestSettings.DEFAULTS, Map.of(), now);
    Map<String, Map<String, Integer>> previous = Map.of();
    for (int step = 0; step < STEPS; step++) {
      Map<String, Map<String, Integer>> next =
          CreditAllocator.allocate(workers, demand(entryCount, random), history.usableSlots(now));
      history.replace(next, now);
      List<Map<String, Map<String, Integer>>> believed = List.of(previous, next);
      fill(believed, sendings, now, random);
      assertWithinSlots(workers, sendings);
      previous = next;
      now = now.plusSeconds(random.nextInt(40));
      Instant current = now;
      sendings.removeIf(sending -> !current.isBefore(sending.endsBy()) || random.nextInt(3) == 0);
    }
  }

  @Property(tries = 200, seed = SEED)
  void should_give_out_every_slot_when_nothing_is_held(
      @ForAll @IntRange(min = 1, max = 9) int entryCount,
      @ForAll @IntRange(min = 1, max = 8) int slots,
      @ForAll long course) {
    Map<String, Map<String, Integer>> allotment =
        CreditAllocator.allocate(workers(30, slots), demand(entryCount, new Random(course)), Map.of());

    int given =
        allotment.values().stream()
            .flatMap(each -> each.values().stream())
            .mapToInt(Integer::intValue)
            .sum();
    assertThat(given).isEqualTo(30 * slots);
  }

  @Property(tries = 100, seed = SEED)
  void should_give_slots_of_a_dead_entry_back_after_the_drain_time(
      @ForAll @IntRange(min = 2, max = 8) int entryCount) {
    List<Worker> workers = workers(4, 8);
    Map<String, Integer> all = new HashMap<>();
    IntStream.range(0, entryCount).forEach(index -> all.put("entry-" + index, 1));
    Map<String, Map<String, Integer>> before = CreditAllocator.allocate(workers, all, Map.of());
    CreditHistory history = new CreditHistory(RequestSettings.DEFAULTS, before, Instant.EPOCH);
    all.remove("entry-0");
    history.replace(CreditAllocator.allocate(workers, all, history.usableSlots(Instant.EPOCH)), Instant.EPOCH);

    Instant drained =
        Instant.EPOCH.plus(CreditHistory.drainTime(RequestSettings.DEFAULTS)).plusMillis(1);
    Map<String, Map<String, Integer>> after =
        CreditAllocator.allocate(workers, all, history.usableSlots(drained));

    assertThat(after.values().stream().flatMap(each -> each.values().stream()))
        .satisfies(slots -> assertThat(slots.stream().mapToInt(each -> each).sum()).isEqualTo(32));
  }

  /** Fills slots by the old or the new allotment, as an entry does that learns of it late. */
  private void fill(
      List<Map<String, Map<String, Integer>>> believed,
      List<Sending> sendings,
      Instant now,
      Random random) {
    Duration lifetime = CreditHistory.drainTime(RequestSettings.DEFAULTS);
    believed
        .get(random.nextInt(believed.size()))
        .forEach(
            (entry, slots) ->
                slots.forEach(
                    (worker, count) -> {
                      long busy = sendings.stream().filter(each -> each.is(entry, worker)).count();
                      for (long sent = busy; sent < count; sent++) {
                        sendings.add(new Sending(entry, worker, now.plus(lifetime)));
                      }
                    }));
  }

  private static void assertWithinSlots(List<Worker> workers, List<Sending> sendings) {
    for (Worker worker : workers) {
      assertThat(sendings)
          .filteredOn(sending -> sending.worker().equals(worker.name()))
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

  private record Sending(String entry, String worker, Instant endsBy) {
    boolean is(String someEntry, String someWorker) {
      return entry.equals(someEntry) && worker.equals(someWorker);
    }
  }
}
