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
import java.util.Set;
import java.util.stream.Collectors;

/** Lets the gang driver work on the held gangs while this replica leads. */
final class GangLoop {
  /** The pause between two ticks of the driver. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  private final ReplicatedState replica;
  private final LeaderElector leadership;
  private final GangDriver driver;
  private long heldTerm;

  GangLoop(ReplicatedState replica, LeaderElector leadership, GangDriver driver) {
    this.replica = replica;
    this.leadership = leadership;
    this.driver = driver;
  }

  /** Ticks until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      long before = replica.appliedOffset();
      tick();
      replica.awaitOffset(before + 1, PAUSE);
    }
  }

  private void tick() {
    if (leadership.isLeader()) {
      Snapshot snapshot = replica.read(GangLoop::snapshot);
      heldTerm = snapshot.term;
      driver.tick(snapshot.term, snapshot.held, snapshot.addresses, this::mayStart);
    } else if (heldTerm != 0) {
      heldTerm = 0;
      driver.stepDown();
    }
  }

  /** Asked again right before members run, so that the answer is as fresh as the start. */
  private boolean mayStart(String jobId) {
    return leadership.leads() && replica.read(state -> openForStart(state, jobId));
  }

  private static boolean openForStart(ControlState state, String jobId) {
    JobRecord job = state.job(jobId);
    if (job == null || job.phase() != JobPhase.RESERVED) {
      return false;
    }
    Set<String> closed =
        state.configuration().failureDomains().stream()
            .filter(domain -> !domain.acceptsStarts())
            .map(FailureDomain::name)
            .collect(Collectors.toSet());
    return job.placements().stream().noneMatch(place -> closed.contains(domainOf(state, place)));
  }

  private static String domainOf(ControlState state, MemberPlacement place) {
    Worker worker = state.worker(place.worker());
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
