package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The policy input for one worker.
 *
 * @param worker the worker
 * @param quarantined whether the worker is in quarantine
 * @param quarantineChangedAt when it last entered or left quarantine; null if never
 * @param failures recent task failures on this worker, including those of jobs that have ended
 * @param lastCompletionAt when a task last completed on this worker; null if none is known
 */
public record WorkerView(
    Worker worker,
    boolean quarantined,
    @Nullable Instant quarantineChangedAt,
    List<TaskFailure> failures,
    @Nullable Instant lastCompletionAt) {
  /** Creates a view with a copy of the failures. */
  public WorkerView {
    failures = List.copyOf(failures);
  }

  /** Returns a view of a worker that was never in quarantine and has no failures. */
  public static WorkerView healthy(Worker worker) {
    return new WorkerView(worker, false, null, List.of(), null);
  }
}
