package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.log.EnvelopeListener;
import io.dragonflyturn.internal.placement.TaskFailure;
import io.dragonflyturn.internal.placement.WorkerView;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent task failures, completions, and quarantine changes of each worker, collected from applied
 * records.
 */
final class WorkerHealthHistory implements EnvelopeListener {
  /** The maximum number of failures kept for each worker. */
  private static final int MAXIMUM_FAILURES = 16;

  private final Map<String, List<MemberPlacement>> placements = new HashMap<>();
  private final Map<String, Deque<TaskFailure>> failures = new HashMap<>();
  private final Map<String, Instant> completions = new HashMap<>();
  private final Map<String, Instant> quarantineChanges = new HashMap<>();

  @Override
  public synchronized void applied(Envelope envelope, ProposalOutcome outcome) {
    if (!outcome.code().isSuccess()) {
      return;
    }
    Instant at = Instant.ofEpochMilli(envelope.atMillis());
    switch (envelope.record()) {
      case ControlRecord.GangReserved reserved ->
          placements.put(reserved.jobId(), reserved.placements());
      case ControlRecord.GangEnded ended -> ended(ended, at);
      case ControlRecord.WorkerQuarantineChanged changed ->
          quarantineChanges.put(changed.worker(), at);
      case ControlRecord.WorkersListed listed -> listed.removed().forEach(this::forget);
      default -> {}
    }
  }

  /** Returns the placement policy's view of a worker. */
  synchronized WorkerView view(Worker worker, boolean quarantined) {
    return new WorkerView(
        worker,
        quarantined,
        quarantineChanges.get(worker.name()),
        List.copyOf(failures.getOrDefault(worker.name(), new ArrayDeque<>())),
        completions.get(worker.name()));
  }

  private void ended(ControlRecord.GangEnded ended, Instant at) {
    List<MemberPlacement> memberPlacements = placements.remove(ended.jobId());
    ended.failedWorkers().forEach(worker -> addFailure(worker, ended.jobId(), at));
    if (ended.outcome() == ControlRecord.GangOutcome.COMPLETED && memberPlacements != null) {
      memberPlacements.forEach(placement -> completions.put(placement.worker(), at));
    }
  }

  private void addFailure(String worker, String jobId, Instant at) {
    Deque<TaskFailure> workerFailures =
        failures.computeIfAbsent(worker, name -> new ArrayDeque<>());
    workerFailures.addLast(new TaskFailure(jobId, at));
    if (workerFailures.size() > MAXIMUM_FAILURES) {
      workerFailures.removeFirst();
    }
  }

  private void forget(String worker) {
    failures.remove(worker);
    completions.remove(worker);
    quarantineChanges.remove(worker);
  }
}
