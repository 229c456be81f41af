package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Compares the platform's list of workers with the workers in the control state. */
final class WorkerListDiff {
  private WorkerListDiff() {}

  /** Returns a record that updates the state to match the list, or empty if they are equal. */
  static Optional<ControlRecord.WorkersListed> difference(ControlState state, List<Worker> listed) {
    List<Worker> changed = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Worker worker : listed) {
      names.add(worker.name());
      if (!worker.equals(state.worker(worker.name()))) {
        changed.add(worker);
      }
    }
    List<String> removed =
        state.workers().stream().map(Worker::name).filter(name -> !names.contains(name)).toList();
    return changed.isEmpty() && removed.isEmpty()
        ? Optional.empty()
        : Optional.of(new ControlRecord.WorkersListed(changed, removed));
  }
}
