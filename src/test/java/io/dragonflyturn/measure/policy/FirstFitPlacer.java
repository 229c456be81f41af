package io.dragonflyturn.measure.policy;

import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** Places gangs on the first workers that fit, in list order, and tracks free accelerators. */
final class FirstFitPlacer {
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, Long> freeMasks = new HashMap<>();

  FirstFitPlacer(Collection<Worker> usableWorkers) {
    for (Worker worker : usableWorkers) {
      workers.put(worker.name(), worker);
      freeMasks.put(worker.name(), (1L << worker.accelerators()) - 1);
    }
  }

  FirstFitPlacer(FirstFitPlacer original) {
    workers.putAll(original.workers);
    freeMasks.putAll(original.freeMasks);
  }

  void allocate(List<MemberPlacement> placements) {
    placements.forEach(
        placement ->
            freeMasks.computeIfPresent(
                placement.worker(), (name, mask) -> mask & ~mask(placement)));
  }

  void release(List<MemberPlacement> placements) {
    placements.forEach(
        placement ->
            freeMasks.computeIfPresent(placement.worker(), (name, mask) -> mask | mask(placement)));
  }

  void allocateMask(String worker, long mask) {
    freeMasks.computeIfPresent(worker, (name, freeMask) -> freeMask & ~mask);
  }

  int freeAccelerators() {
    return freeMasks.values().stream().mapToInt(Long::bitCount).sum();
  }

  /** Returns placements on free accelerators for all members, or null if the gang does not fit. */
  @Nullable List<MemberPlacement> place(Shape shape, Predicate<String> isAllowed) {
    Map<String, List<MemberPlacement>> placementsByGroup = new HashMap<>();
    for (Worker worker : workers.values()) {
      long mask = freeMasks.getOrDefault(worker.name(), 0L);
      if (Long.bitCount(mask) < shape.acceleratorsPerMember() || !isAllowed.test(worker.name())) {
        continue;
      }
      List<MemberPlacement> placements =
          placementsByGroup.computeIfAbsent(
              groupOf(worker, shape.span()), name -> new ArrayList<>());
      addMembers(placements, worker, mask, shape);
      if (placements.size() == shape.members()) {
        return placements;
      }
    }
    return null;
  }

  static long mask(MemberPlacement placement) {
    return placement.accelerators().stream().mapToLong(index -> 1L << index).sum();
  }

  static String groupOf(Worker worker, Span span) {
    return switch (span) {
      case WORKER -> worker.name();
      case RACK -> worker.failureDomain() + '/' + worker.rack();
      case FAILURE_DOMAIN -> worker.failureDomain();
      case REGION -> "";
    };
  }

  private static void addMembers(
      List<MemberPlacement> placements, Worker worker, long mask, Shape shape) {
    int blockSize = shape.acceleratorsPerMember();
    long blockMask = (1L << blockSize) - 1;
    int offset = 0;
    while (offset + blockSize <= worker.accelerators() && placements.size() < shape.members()) {
      if ((mask >>> offset & blockMask) == blockMask) {
        List<Integer> accelerators = IntStream.range(offset, offset + blockSize).boxed().toList();
        placements.add(new MemberPlacement(placements.size(), worker.name(), accelerators));
        offset += blockSize;
      } else {
        offset++;
      }
    }
  }
}
