package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much room the workers of each service have, counted in tasks, so that memory or accelerators
 * that run out before the processors count as much as they do for placement.
 *
 * <pre>{@code
 * room.tasksAtOnce("service", step); // 24: one on each of 24 workers, by its memory
 * room.share("service", step);       // 1/24
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class FleetRoom {
  private final Collection<WorkerSnapshot> workers;
  private final Map<Demand, Integer> tasksByDemand = new HashMap<>();

  /**
   * Creates the room of a fleet.
   *
   * @param workers the usable workers
   */
  public FleetRoom(Collection<WorkerSnapshot> workers) {
    this.workers = List.copyOf(workers);
  }

  /**
   * Returns how many tasks of a step fit beside those that run without an end; 0 if no known worker
   * can run them.
   */
  public int tasksAtOnce(String service, StepSpecification step) {
    return tasksFor(new Demand(service, step.requiredLabel(), step.demand()));
  }

  /** Returns the share of the room that one task of a step takes; 0 if it is unknown. */
  public double share(String service, StepSpecification step) {
    return shareOf(new Demand(service, step.requiredLabel(), step.demand()));
  }

  /**
   * Returns how long the runs of a rank and of more urgent ones still occupy the room of a service,
   * in milliseconds of the whole room.
   */
  public double occupiedMillis(String service, int rank) {
    double sum = 0;
    for (WorkerSnapshot worker : workers) {
      if (worker.service().equals(service)) {
        sum += occupiedMillis(worker, rank);
      }
    }
    return sum;
  }

  private double occupiedMillis(WorkerSnapshot worker, int rank) {
    double sum = 0;
    for (Allocation allocation : worker.allocations()) {
      if (allocation.rank() <= rank && allocation.rank() != UrgencyRanks.NOT_PREEMPTIBLE) {
        Demand demand = new Demand(worker.service(), "", allocation.demand());
        sum += shareOf(demand) * allocation.remainingMillis();
      }
    }
    return sum;
  }

  /** Returns whether a demand exceeds what is free on all workers of a service together. */
  public boolean isShortOf(String service, Resources demand) {
    Resources free = Resources.NONE;
    for (WorkerSnapshot worker : workers) {
      free = worker.service().equals(service) ? free.plus(free(worker)) : free;
    }
    return !free.canFit(demand);
  }

  private static Resources free(WorkerSnapshot worker) {
    Resources free = worker.capacity();
    for (Allocation allocation : worker.allocations()) {
      free = free.minus(allocation.demand());
    }
    return new Resources(
        Math.max(0, free.processorMillis()),
        Math.max(0, free.memoryMegabytes()),
        Math.max(0, free.accelerators()));
  }

  private double shareOf(Demand demand) {
    int tasks = tasksFor(demand);
    return tasks == 0 ? 0 : 1.0 / tasks;
  }

  private int tasksFor(Demand demand) {
    return tasksByDemand.computeIfAbsent(demand, this::countTasks);
  }

  private int countTasks(Demand demand) {
    long sum = 0;
    for (WorkerSnapshot worker : workers) {
      if (demand.isFor(worker)) {
        sum += worker.preemptibleCapacity().copiesThatFit(demand.resources(), Integer.MAX_VALUE);
      }
    }
    return (int) Math.min(sum, Integer.MAX_VALUE);
  }

  /** What one task asks for, and where. */
  private record Demand(String service, String label, Resources resources) {
    boolean isFor(WorkerSnapshot worker) {
      return worker.service().equals(service)
          && (label.isEmpty() || worker.labels().contains(label));
    }
  }
}
