package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.gang.GangListener;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.state.ControlRecord;
import java.util.List;

/** Proposes a record in the term of the driver for each gang event that the driver reports. */
final class GangRecorder implements GangListener {
  private final ReplicatedState replica;

  GangRecorder(ReplicatedState replica) {
    this.replica = replica;
  }

  @Override
  public void gangStarted(long term, String jobId, int attempt) {
    propose(term, new ControlRecord.GangStarted(jobId, attempt));
  }

  @Override
  public void gangEnded(
      long term,
      String jobId,
      int attempt,
      ControlRecord.GangOutcome outcome,
      double completedSeconds,
      List<String> failedWorkers) {
    propose(
        term,
        new ControlRecord.GangEnded(jobId, attempt, outcome, completedSeconds, failedWorkers));
  }

  @Override
  public void memberLost(
      long term, String jobId, int attempt, String worker, ControlRecord.StopReason reason) {
    String explanation = "The member on worker " + worker + " was lost: " + reason + ".";
    propose(term, new ControlRecord.GangStopRequested(jobId, attempt, reason, explanation));
  }

  @Override
  public void fenced(String worker) {
    // Nothing to record: the replicated state shows the new leader once it has caught up.
  }

  private void propose(long term, ControlRecord record) {
    // The driver reports the end of a gang until the state shows it, so a lost proposal needs no
    // handling.
    replica.propose(record, term).exceptionally(failure -> null);
  }
}
