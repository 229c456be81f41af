package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.gang.GangListener;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.state.ControlRecord;
import java.util.List;

/** Proposes what happens to gangs as records of the current term. */
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
    // The state tells of the new leader as soon as it is read; nothing is to be recorded.
  }

  private void propose(ControlRecord record) {
    long term = replica.read(state -> state.leadership().term());
    // Ends are reported again until the state shows them, so that a lost proposal needs no answer.
    replica.propose(record, term).exceptionally(failure -> null);
  }
}
