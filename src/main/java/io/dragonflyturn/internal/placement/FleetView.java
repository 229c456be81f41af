package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import java.util.List;

/**
 * The input of the placement policy: the state of one region at one moment.
 *
 * @param configuration the current configuration
 * @param workers all listed workers of the region
 * @param jobs all jobs that have not ended
 */
public record FleetView(Configuration configuration, List<WorkerView> workers, List<JobView> jobs) {
  /** Creates a view with copies of the collections. */
  public FleetView {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
  }
}
