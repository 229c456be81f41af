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
 * Says why jobs wait, run, or ended, and what happens in a failure domain.
 *
 * <p>The reason of a waiting job comes from a plan over this replica's state, so that any replica
 * can explain.
 */
final class Explanations {
  private final ReplicatedState replica;
  private final FleetViewFactory views;
  private final PlacementPolicy policy;
  private final InstantSource wallClock;

  Explanations(
      ReplicatedState replica,
      FleetViewFactory views,
      PlacementPolicy policy,
      InstantSource wallClock) {
    this.replica = replica;
    this.views = views;
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
                job.id(), new WaitReason("It is placed in the next round.", "The next round."));
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

  /** Returns the guaranteed shapes that cannot be reclaimed at present, a sentence for each. */
  List<String> shortfalls() {
    return plan().shortfalls();
  }

  private Plan plan() {
    Instant now = wallClock.instant();
    FleetView view = replica.read(state -> views.view(state, now));
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
      if (job.placements().stream().anyMatch(place -> standsIn(state, place, domain))) {
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

  private static boolean standsIn(ControlState state, MemberPlacement place, FailureDomain domain) {
    Worker worker = state.worker(place.worker());
    return worker != null && worker.failureDomain().equals(domain.name());
  }

  /** Why a job is where it is. */
  record JobExplanation(
      String jobId, String phase, String reason, String wouldRelease, long decidingOffset) {}

  /** A job that holds places in a failure domain. */
  record JobInDomain(String jobId, String phase, String reason, long decidingOffset) {}

  /** What happens in a failure domain. */
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
