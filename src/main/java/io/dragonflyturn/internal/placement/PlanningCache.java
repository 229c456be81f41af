package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Data derived from the workers and the configuration alone, reused across plans until either
 * changes or a missing worker expires.
 *
 * @param workers the listed workers
 * @param missingWorkers the workers that were listed recently and no longer are
 * @param configuration the configuration that the data is derived from
 * @param topology the topology of the listed workers
 * @param rules the placement rules, compiled for the listed workers
 * @param feasibility decides which jobs can ever run on the listed and the missing workers
 */
record PlanningCache(
    List<Worker> workers,
    MissingWorkers missingWorkers,
    Configuration configuration,
    Topology topology,
    RuleSet rules,
    FeasibilityChecker feasibility) {

  /** Returns the previous cache if it is valid for the view, or a new one. */
  static PlanningCache update(
      FleetView view, Instant now, @Nullable PlanningCache previous, BlockTable blockTable) {
    List<Worker> workers = new ArrayList<>(view.workers().size());
    view.workers().forEach(worker -> workers.add(worker.worker()));
    Configuration configuration = view.configuration();
    if (previous == null) {
      Topology topology = new Topology(workers);
      return create(workers, MissingWorkers.NONE, configuration, topology, blockTable);
    }
    boolean workersUnchanged = previous.workers.equals(workers);
    boolean missingUnchanged = workersUnchanged && !previous.missingWorkers.hasExpired(now);
    if (missingUnchanged && previous.configuration.equals(configuration)) {
      return previous;
    }
    MissingWorkers missingWorkers =
        missingUnchanged
            ? previous.missingWorkers
            : previous.missingWorkers.update(previous.workers, workers, now);
    Topology topology = workersUnchanged ? previous.topology : new Topology(workers);
    return create(workers, missingWorkers, configuration, topology, blockTable);
  }

  private static PlanningCache create(
      List<Worker> workers,
      MissingWorkers missingWorkers,
      Configuration configuration,
      Topology topology,
      BlockTable blockTable) {
    RuleSet rules = new RuleSet(configuration, topology);
    FeasibilityChecker feasibility =
        missingWorkers.workers().isEmpty()
            ? new FeasibilityChecker(configuration, topology, rules, blockTable)
            : feasibility(workers, missingWorkers, configuration, blockTable);
    return new PlanningCache(workers, missingWorkers, configuration, topology, rules, feasibility);
  }

  private static FeasibilityChecker feasibility(
      List<Worker> workers,
      MissingWorkers missingWorkers,
      Configuration configuration,
      BlockTable blockTable) {
    List<Worker> allWorkers = new ArrayList<>(workers);
    allWorkers.addAll(missingWorkers.workers());
    Topology topology = new Topology(allWorkers);
    return new FeasibilityChecker(
        configuration, topology, new RuleSet(configuration, topology), blockTable);
  }
}
