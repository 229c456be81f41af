package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeadershipLog;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.Leadership;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Reads and proposes leadership records through the replicated state. */
final class ReplicaLeadershipLog implements LeadershipLog {
  /** How long a replica that shuts down waits for its release to be applied. */
  private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);

  private final ReplicatedState replica;

  ReplicaLeadershipLog(ReplicatedState replica) {
    this.replica = replica;
  }

  @Override
  public long term() {
    return leadership().term();
  }

  @Override
  public String leader() {
    return leadership().leader();
  }

  @Override
  public Duration logAge() {
    return replica.logAge();
  }

  @Override
  public void claim(String candidate, long expectedTerm) {
    propose(new ControlRecord.LeadershipClaimed(candidate, expectedTerm), 0);
  }

  @Override
  public void renew(String leader, long term) {
    propose(new ControlRecord.LeadershipRenewed(leader), term);
  }

  @Override
  public void release(String leader, long term) {
    CompletableFuture<?> released =
        replica.propose(new ControlRecord.LeadershipReleased(leader), term);
    try {
      released.get(RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | TimeoutException unconfirmed) {
      // Without the release, peers claim leadership when the lease expires.
      return;
    }
  }

  private void propose(ControlRecord record, long term) {
    // A rejected or lost proposal needs no handling; the next tick reads the state again.
    replica.propose(record, term).exceptionally(failure -> null);
  }

  private Leadership leadership() {
    return replica.read(state -> state.leadership());
  }
}
