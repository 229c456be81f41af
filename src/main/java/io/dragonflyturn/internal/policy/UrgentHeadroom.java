package io.dragonflyturn.internal.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Chooses workers to reserve for urgent jobs, based on their recent peak demand.
 *
 * <p>If urgent gangs keep arriving while a backlog of less urgent tasks fills the fleet, each gang
 * would preempt the runs that were started on the resources of the previous gang. The reserved
 * headroom equals the peak demand of urgent jobs within a sliding window; nothing is reserved if
 * there were no urgent jobs.
 *
 * <p>What urgent jobs use already is part of their peak demand, so the workers that run them are
 * reserved first, and other workers only for the rest.
 */
public final class UrgentHeadroom {
  /**
   * The length of the sliding window, in milliseconds; several times the duration of a typical
   * urgent run.
   */
  private static final long WINDOW_MILLIS = 8_000;

  /** The length of the intervals whose peak demand is stored, in milliseconds. */
  private static final long INTERVAL_MILLIS = 500;

  /** The maximum share of all accelerators that may be reserved. */
  private static final double MAXIMUM_RESERVED_SHARE = 0.5;

  private final Deque<Peak> peaks = new ArrayDeque<>();

  /** The workers that were chosen last; they are kept, so that their free resources stay free. */
  private Set<String> chosenLast = Set.of();

  /** Records the number of accelerators that urgent jobs currently use or wait for. */
  public void observe(long accelerators, long nowMillis) {
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

  /** Returns the number of workers that were chosen last. */
  public int reservedWorkers() {
    return chosenLast.size();
  }

  /** Returns the peak demand within the window, in accelerators. */
  private long peakAccelerators() {
    return peaks.stream().mapToLong(Peak::accelerators).max().orElse(0);
  }

  /**
   * Chooses healthy workers until their accelerators cover the headroom: those that run urgent
   * jobs, then those that were chosen last, then others rack by rack.
   *
   * @return the identifiers of the chosen workers
   */
  public Set<String> chooseWorkers(List<WorkerSnapshot> workers) {
    Set<String> runningUrgentJobs =
        workers.stream()
            .filter(WorkerSnapshot::runsUrgentJob)
            .map(WorkerSnapshot::id)
            .collect(Collectors.toSet());
    List<WorkerSnapshot> inOrder = new ArrayList<>(workers);
    inOrder.sort(
        Comparator.comparing((WorkerSnapshot worker) -> !runningUrgentJobs.contains(worker.id()))
            .thenComparing(worker -> worker.speed().grade(), Comparator.reverseOrder())
            .thenComparing(worker -> !chosenLast.contains(worker.id()))
            .thenComparing(WorkerSnapshot::rack)
            .thenComparing(WorkerSnapshot::id));
    long totalAccelerators =
        workers.stream().mapToLong(each -> each.capacity().accelerators()).sum();
    long remaining =
        Math.min(peakAccelerators(), (long) (totalAccelerators * MAXIMUM_RESERVED_SHARE));
    Set<String> chosen = new HashSet<>();
    for (WorkerSnapshot worker : inOrder) {
      if (remaining <= 0) {
        break;
      }
      int accelerators = worker.preemptibleCapacity().accelerators();
      if (worker.healthy() && accelerators > 0) {
        chosen.add(worker.id());
        remaining -= accelerators;
      }
    }
    chosenLast = chosen;
    return chosen;
  }

  /** The peak demand of urgent jobs in an interval that starts at the given time. */
  private record Peak(long sinceMillis, long accelerators) {}
}
