package io.dragonflyturn.internal.policy;

/** What narrows the workers on which a unit is placed. */
sealed interface PlacementFilter {
  /**
   * Returns the workers that are left.
   *
   * @param workers the workers to choose from
   * @param matching those of them that the filter is for
   */
  WorkerGroup apply(PlacementRequest request, WorkerGroup workers, WorkerGroup matching);

  /** A requirement that always holds. It may leave no worker, so that the unit never runs. */
  record Rule() implements PlacementFilter {
    @Override
    public WorkerGroup apply(PlacementRequest request, WorkerGroup workers, WorkerGroup matching) {
      return matching;
    }
  }

  /**
   * A preference, which only delays a unit. It holds for a limited time, and not at all if the unit
   * could never run on the preferred workers. After that time it still decides where the unit is
   * placed if that could be on either.
   *
   * @param longestWaitMillis how long a unit waits for the preferred workers
   */
  record Preference(long longestWaitMillis) implements PlacementFilter {
    @Override
    public WorkerGroup apply(PlacementRequest request, WorkerGroup workers, WorkerGroup matching) {
      boolean holds =
          request.waitedMillis() < longestWaitMillis
              ? PlaceSearch.fitsWhenEmpty(request, matching.workers())
              : PlaceSearch.fitsNow(request, matching.workers());
      return holds ? matching : workers;
    }
  }
}
