package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Finds free workers for single tasks. Answers the load of many like tasks, for each of which all
 * workers were ranked again, although the task before had changed only one of them.
 *
 * <p>For tasks that rank workers alike, the best worker of each block is kept until a worker of the
 * block changes; the best of all is the best of these. That holds because {@link PlaceSearch} ranks
 * a worker for a single task by its own state only, whatever that order is. Units that prefer a
 * rack, gangs, and workers of unlike speed, which a unit chooses by its objective, are left to it
 * altogether.
 */
final class BestWorkers implements PlacementPlanner.FreeWorkers {
  private final Map<Key, Winner> winnerByKey = new HashMap<>();
  private final Set<Key> searched = new HashSet<>();

  @Override
  public @Nullable List<Candidate> choose(PlacementRequest request, WorkerGroup group) {
    boolean mayBeKept =
        request.tasks() == 1 && request.step().dataRack().isEmpty() && group.areAlike();
    if (!mayBeKept || searched.add(key(request, group))) {
      return PlaceSearch.choose(request, group.workers(), Candidate::free);
    }
    return winnerByKey
        .computeIfAbsent(key(request, group), key -> new Winner(group.block()))
        .choose(request);
  }

  private static Key key(PlacementRequest request, WorkerGroup group) {
    String limitedStep = request.step().maximumPerWorker() > 0 ? request.stepKey() : "";
    return new Key(
        group, request.step().demand(), request.failedWorkers(), limitedStep, request.holdsRoom());
  }

  /**
   * What the rank of a worker depends on for a single task, beside the state of the worker.
   *
   * @param limitedStep the step of the task if it has a limit per worker, otherwise empty
   * @param holdsRoom whether the task prefers workers that are split already
   */
  private record Key(
      WorkerGroup group,
      Resources demand,
      Set<String> failedWorkers,
      String limitedStep,
      boolean holdsRoom) {}

  /** The best worker of a block, for tasks with the same key. */
  private static final class Winner {
    private static final int NEVER = -1;

    private final WorkerBlock block;
    private final List<Winner> parts;
    private int revision = NEVER;
    private @Nullable List<Candidate> chosen;

    Winner(WorkerBlock block) {
      this.block = block;
      this.parts = block.blocks().stream().map(Winner::new).toList();
    }

    /** Returns the best worker, which is searched again if the block has changed; null if none. */
    @Nullable List<Candidate> choose(PlacementRequest request) {
      if (revision != block.revision()) {
        chosen = PlaceSearch.choose(request, contenders(request), Candidate::free);
        revision = block.revision();
      }
      return chosen;
    }

    private List<Candidate> contenders(PlacementRequest request) {
      if (parts.isEmpty()) {
        return block.workers();
      }
      List<Candidate> contenders = new ArrayList<>();
      for (Winner part : parts) {
        List<Candidate> best = part.choose(request);
        if (best != null) {
          contenders.addAll(best);
        }
      }
      return contenders;
    }
  }
}
