package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.gang.GangDriver;
import io.dragonflyturn.internal.gang.PlacedGang;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeaderElector;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.JobPhase;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Runs the gang driver periodically on all active gangs while this replica is the leader. */
final class GangLoop {
  /** The pause between two ticks of the driver while the state does not change. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  private final ReplicatedState replica;
  private final LeaderElector leadership;
  private final GangDriver driver;
  private long activeTerm;

  GangLoop(ReplicatedState replica, LeaderElector leadership, GangDriver driver) {
    this.replica = replica;
    this.leadership = leadership;
    this.driver = driver;
  }

  /** Runs ticks until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      long previousOffset = replica.appliedOffset();
      tick();
      replica.awaitOffset(previousOffset + 1, PAUSE);
    }
  }

  /**
   * Ticks the driver if the state that it reads the gangs from names this replica as the leader.
   */
  void tick() {
    Optional<Snapshot> ownTerm =
        replica.read(
            state ->
                state.leadership().leader().equals(leadership.incarnation())
                    ? Optional.of(snapshot(state))
                    : Optional.empty());
    if (ownTerm.isPresent()) {
      Snapshot snapshot = ownTerm.get();
      activeTerm = snapshot.term;
      driver.tick(snapshot.term, snapshot.held, snapshot.addresses, this::mayStart);
    } else if (activeTerm != 0) {
      activeTerm = 0;
      driver.stepDown();
    }
  }

  /**
   * Returns whether the members of a reserved job may start. The driver checks this immediately
   * before it starts them, because leadership or a failure domain may have changed since the
   * reservation.
   */
  private boolean mayStart(String jobId) {
    return leadership.leads() && replica.read(state -> isStartAllowed(state, jobId));
  }

  private static boolean isStartAllowed(ControlState state, String jobId) {
    JobRecord job = state.job(jobId);
    if (job == null || job.phase() != JobPhase.RESERVED) {
      return false;
    }
    Set<String> closedDomains =
        state.configuration().failureDomains().stream()
            .filter(domain -> !domain.acceptsStarts())
            .map(FailureDomain::name)
            .collect(Collectors.toSet());
    return job.placements().stream()
        .noneMatch(placement -> closedDomains.contains(domainOf(state, placement)));
  }

  private static String domainOf(ControlState state, MemberPlacement placement) {
    Worker worker = state.worker(placement.worker());
    return worker == null ? "" : worker.failureDomain();
  }

  private static Snapshot snapshot(ControlState state) {
    List<PlacedGang> held =
        state.activeJobs().stream()
            .map(
                job ->
                    new PlacedGang(
                        job.specification(),
                        job.attempt(),
                        job.placements(),
                        phase(job.phase()),
                        job.completedSeconds()))
            .toList();
    Map<String, String> addresses =
        state.workers().stream().collect(Collectors.toMap(Worker::name, Worker::address));
    return new Snapshot(state.leadership().term(), held, addresses);
  }

  private static PlacedGang.Phase phase(JobPhase phase) {
    return switch (phase) {
      case RUNNING -> PlacedGang.Phase.RUNNING;
      case STOPPING -> PlacedGang.Phase.STOPPING;
      case QUEUED, RESERVED, ENDED -> PlacedGang.Phase.RESERVED;
    };
  }

  private record Snapshot(long term, List<PlacedGang> held, Map<String, String> addresses) {}
}
