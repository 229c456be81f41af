package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.placement.Plan;
import io.dragonflyturn.internal.placement.WaitReason;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.JobPhase;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Worker;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Explains the state of jobs and failure domains to callers and operators.
 *
 * <p>The wait reason of a queued job is computed by planning over the local state, so that every
 * replica can answer, not only the leader.
 */
final class Explanations {
  private final ReplicatedState replica;
  private final FleetViewFactory viewFactory;
  private final PlacementPolicy policy;
  private final InstantSource wallClock;

  Explanations(
      ReplicatedState replica,
      FleetViewFactory viewFactory,
      PlacementPolicy policy,
      InstantSource wallClock) {
    this.replica = replica;
    this.viewFactory = viewFactory;
    this.policy = policy;
    this.wallClock = wallClock;
  }

  JobExplanation job(JobRecord job) {
    if (job.phase() != JobPhase.QUEUED) {
      return new JobExplanation(
          job.id(), job.phase().name(), job.lastReason(), "", job.decidingOffset());
    }
    WaitReason waiting =
        plan()
            .waitReasons()
            .getOrDefault(
                job.id(),
                new WaitReason(
                    "The job will be placed in the next planning round.",
                    "The next planning round."));
    return new JobExplanation(
        job.id(),
        job.phase().name(),
        waiting.reason(),
        waiting.startCondition(),
        job.decidingOffset());
  }

  Optional<DomainExplanation> domain(String name) {
    List<String> shortfalls = shortfalls();
    return replica.read(state -> find(state, name, shortfalls));
  }

  /** Returns one sentence for each guaranteed shape that cannot currently be reclaimed. */
  List<String> shortfalls() {
    return plan().shortfalls();
  }

  private Plan plan() {
    Instant now = wallClock.instant();
    FleetView view = replica.read(state -> viewFactory.view(state, now));
    return policy.plan(view, now);
  }

  private static Optional<DomainExplanation> find(
      ControlState state, String name, List<String> shortfalls) {
    return state.configuration().failureDomains().stream()
        .filter(domain -> domain.name().equals(name))
        .findFirst()
        .map(domain -> explanation(state, domain, shortfalls));
  }

  private static DomainExplanation explanation(
      ControlState state, FailureDomain domain, List<String> shortfalls) {
    int workers = 0;
    int accelerators = 0;
    for (Worker worker : state.workers()) {
      if (worker.failureDomain().equals(domain.name())) {
        workers++;
        accelerators += worker.accelerators();
      }
    }
    List<JobInDomain> jobs = new ArrayList<>();
    for (JobRecord job : state.activeJobs()) {
      if (job.placements().stream().anyMatch(placement -> isIn(state, placement, domain))) {
        jobs.add(
            new JobInDomain(job.id(), job.phase().name(), job.lastReason(), job.decidingOffset()));
      }
    }
    return new DomainExplanation(
        domain.name(),
        domain.serviceState().name(),
        domain.changedAtMillis(),
        domain.leaveWithinMillis(),
        workers,
        accelerators,
        jobs,
        shortfalls);
  }

  private static boolean isIn(ControlState state, MemberPlacement placement, FailureDomain domain) {
    Worker worker = state.worker(placement.worker());
    return worker != null && worker.failureDomain().equals(domain.name());
  }

  /** The phase of a job and the reason for it. */
  record JobExplanation(
      String jobId, String phase, String reason, String wouldRelease, long decidingOffset) {}

  /** A job with members on workers of a failure domain. */
  record JobInDomain(String jobId, String phase, String reason, long decidingOffset) {}

  /** The service state, capacity, and jobs of a failure domain. */
  record DomainExplanation(
      String failureDomain,
      String serviceState,
      long changedAtMillis,
      long leaveWithinMillis,
      int workers,
      int accelerators,
      List<JobInDomain> jobs,
      List<String> shortfalls) {}
}
