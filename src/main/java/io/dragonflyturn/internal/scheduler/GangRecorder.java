package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.gang.GangListener;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.state.ControlRecord;
import java.util.List;

/** Proposes a record in the current term for each gang event that the driver reports. */
final class GangRecorder implements GangListener {
  private final ReplicatedState replica;

  GangRecorder(ReplicatedState replica) {
    this.replica = replica;
  }

  @Override
  public void gangStarted(String jobId, int attempt) {
    propose(new ControlRecord.GangStarted(jobId, attempt));
  }

  @Override
  public void gangEnded(
      String jobId,
      int attempt,
      ControlRecord.GangOutcome outcome,
      double completedSeconds,
      List<String> failedWorkers) {
    propose(new ControlRecord.GangEnded(jobId, attempt, outcome, completedSeconds, failedWorkers));
  }

  @Override
  public void memberLost(
      String jobId, int attempt, String worker, ControlRecord.StopReason reason) {
    String explanation = "The member on worker " + worker + " was lost: " + reason + ".";
    propose(new ControlRecord.GangStopRequested(jobId, attempt, reason, explanation));
  }

  @Override
  public void fenced(String worker) {
    // Nothing to record: the replicated state shows the new leader once it has caught up.
  }

  private void propose(ControlRecord record) {
    long term = replica.read(state -> state.leadership().term());
    // The driver reports the end of a gang until the state shows it, so a lost proposal needs no
    // handling.
    replica.propose(record, term).exceptionally(failure -> null);
  }
}
