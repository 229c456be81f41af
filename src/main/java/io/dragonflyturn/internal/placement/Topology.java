package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Assigns each worker an index, ordered by failure domain and rack, and groups the workers by
 * worker, rack, failure domain and region.
 */
final class Topology {
  private static final Comparator<Worker> LOCALITY_ORDER =
      Comparator.comparing(Worker::failureDomain)
          .thenComparing(Worker::rack)
          .thenComparing(Worker::name);

  private final List<Worker> workers;
  private final Map<String, Integer> indexes = new HashMap<>();
  private final Map<Span, int[][]> groups = new EnumMap<>(Span.class);
  private final int[][] groupByWorker = new int[Span.values().length][];

  Topology(List<Worker> listed) {
    List<Worker> sorted = new ArrayList<>(listed);
    sorted.sort(LOCALITY_ORDER);
    workers = List.copyOf(sorted);
    for (int index = 0; index < workers.size(); index++) {
      indexes.put(workers.get(index).name(), index);
    }
    groups.put(Span.WORKER, group(Worker::name));
    groups.put(Span.RACK, group(worker -> worker.failureDomain() + '/' + worker.rack()));
    groups.put(Span.FAILURE_DOMAIN, group(Worker::failureDomain));
    groups.put(Span.REGION, group(worker -> ""));
    groups.forEach(
        (span, groupsOfSpan) -> groupByWorker[span.ordinal()] = groupNumbersByWorker(groupsOfSpan));
  }

  /**
   * Returns whether every failure domain in the regions of the listed workers has a listed worker.
   * The workers of a domain without any may return.
   */
  boolean coversAllDomains(List<FailureDomain> domains) {
    Set<String> listed = workers.stream().map(Worker::failureDomain).collect(Collectors.toSet());
    Set<String> regions =
        domains.stream()
            .filter(domain -> listed.contains(domain.name()))
            .map(FailureDomain::region)
            .collect(Collectors.toSet());
    return !workers.isEmpty()
        && domains.stream()
            .filter(domain -> regions.contains(domain.region()))
            .allMatch(domain -> listed.contains(domain.name()));
  }

  int size() {
    return workers.size();
  }

  Worker worker(int index) {
    return workers.get(index);
  }

  List<Worker> workers() {
    return workers;
  }

  /** Returns the index of a worker, or -1 if it is not listed. */
  int indexOf(String name) {
    return indexes.getOrDefault(name, -1);
  }

  /** Returns the worker indexes of each group of the span. */
  int[][] groups(Span span) {
    return Objects.requireNonNull(groups.get(span));
  }

  /** Returns the number of the group of the span that a worker belongs to. */
  int groupOf(Span span, int worker) {
    return groupByWorker[span.ordinal()][worker];
  }

  /** Returns the bit mask of all accelerators of a worker. */
  long fullMask(int index) {
    int accelerators = workers.get(index).accelerators();
    return accelerators >= Long.SIZE ? -1L : BlockTable.blockMask(0, accelerators);
  }

  /** Returns the bit masks of all accelerators, by worker index. */
  long[] fullMasks() {
    long[] masks = new long[size()];
    for (int index = 0; index < masks.length; index++) {
      masks[index] = fullMask(index);
    }
    return masks;
  }

  private int[] groupNumbersByWorker(int[][] groupsOfSpan) {
    int[] numbers = new int[size()];
    for (int number = 0; number < groupsOfSpan.length; number++) {
      for (int worker : groupsOfSpan[number]) {
        numbers[worker] = number;
      }
    }
    return numbers;
  }

  private int[][] group(Function<Worker, String> key) {
    Map<String, List<Integer>> members = new LinkedHashMap<>();
    for (int index = 0; index < workers.size(); index++) {
      members.computeIfAbsent(key.apply(workers.get(index)), name -> new ArrayList<>()).add(index);
    }
    return members.values().stream()
        .map(list -> list.stream().mapToInt(Integer::intValue).toArray())
        .toArray(int[][]::new);
  }
}
