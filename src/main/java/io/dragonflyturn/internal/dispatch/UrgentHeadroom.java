package io.dragonflyturn.internal.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which workers are kept free of patient work, because urgent jobs are expected to need them.
 *
 * <p>Answers urgent gangs that keep arriving at a fleet that a backlog fills: without such room
 * each of them stops the runs that took the room of the one before. As much is kept as the urgent
 * jobs asked for at once in the last seconds; none where nothing urgent arrived.
 */
final class UrgentHeadroom {
  /** How long a demand is remembered, in milliseconds: a few times an urgent run. */
  private static final long WINDOW_MILLIS = 8_000;

  /** Demands are remembered by intervals of this length, in milliseconds. */
  private static final long INTERVAL_MILLIS = 500;

  /** Patient work keeps at least this share of the accelerators. */
  private static final double MAXIMUM_RESERVED_SHARE = 0.5;

  private final Deque<Peak> peaks = new ArrayDeque<>();

  /** Notes how many accelerators the urgent jobs run on or wait for now. */
  void observe(long accelerators, long nowMillis) {
    while (!peaks.isEmpty() && nowMillis - peaks.getFirst().sinceMillis > WINDOW_MILLIS) {
      peaks.removeFirst();
    }
    Peak last = peaks.peekLast();
    if (last == null || nowMillis - last.sinceMillis >= INTERVAL_MILLIS) {
      peaks.addLast(new Peak(nowMillis, accelerators));
    } else if (accelerators > last.accelerators) {
      peaks.removeLast();
      peaks.addLast(new Peak(last.sinceMillis, accelerators));
    }
  }

  /** Returns the most accelerators that were noted within the window. */
  private long peakAccelerators() {
    return peaks.stream().mapToLong(Peak::accelerators).max().orElse(0);
  }

  /**
   * Chooses workers that together have the accelerators that are to be kept, rack by rack.
   *
   * @return their identifiers
   */
  Set<String> chooseWorkers(List<WorkerSnapshot> workers) {
    List<WorkerSnapshot> byRack = new ArrayList<>(workers);
    byRack.sort(Comparator.comparing(WorkerSnapshot::rack).thenComparing(WorkerSnapshot::id));
    long totalAccelerators = workers.stream().mapToLong(each -> each.capacity().accelerators()).sum();
    long remaining = Math.min(peakAccelerators(), (long) (totalAccelerators * MAXIMUM_RESERVED_SHARE));
    Set<String> chosen = new HashSet<>();
    for (WorkerSnapshot worker : byRack) {
      if (remaining <= 0) {
        break;
      }
      if (worker.healthy() && worker.capacity().accelerators() > 0) {
        chosen.add(worker.id());
        remaining -= worker.capacity().accelerators();
      }
    }
    return chosen;
  }

  private record Peak(long sinceMillis, long accelerators) {}
}
