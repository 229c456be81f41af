package io.dragonflyturn.internal.placement;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.placement.FeasibilityChecker.Refusal;
import io.dragonflyturn.internal.placement.JobRanking.ReclaimerClass;
import io.dragonflyturn.internal.placement.PlacementDecision.QuarantineWorker;
import io.dragonflyturn.internal.placement.PlacementDecision.RefuseJob;
import io.dragonflyturn.internal.placement.PlacementDecision.StartGang;
import io.dragonflyturn.internal.placement.PlacementDecision.StopGang;
import io.dragonflyturn.internal.placement.VictimSearch.ReclaimPlan;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Builds one plan: places the queued jobs in rank order, moves jobs away from leaving workers, and
 * stops jobs whose accelerators are reclaimed.
 */
final class PlanBuilder {
  /** Pinned jobs below this size are packed next to other pinned jobs. */
  private static final int SMALL_JOB_ACCELERATORS = 8;

  private final FleetView view;
  private final Instant now;
  private final PolicySettings settings;
  private final Topology topology;
  private final RuleSet rules;
  private final FeasibilityChecker feasibility;
  private final BlockSearch search;
  private final List<PlanningJob> jobs = new ArrayList<>();
  private final Map<String, Integer> heldAccelerators = new HashMap<>();
  private final List<PlacementDecision> decisions = new ArrayList<>();
  private final Map<String, WaitReason> waitReasons = new LinkedHashMap<>();
  private final Set<PlacementKey> unplaceable = new HashSet<>();
  private final Map<ReclaimerClass, long[]> stoppableMasks = new HashMap<>();
  private final BitSet drainedWorkers = new BitSet();
  private final JobRanking ranking;
  private final WorkerEligibility eligibility;
  private final FleetOccupancy occupancy;
  private final VictimSearch victimSearch;
  private final GuaranteeAdmission admission;

  PlanBuilder(
      FleetView view,
      Instant now,
      PolicySettings settings,
      BlockTable blockTable,
      PlanningCache cache) {
    this.view = view;
    this.now = now;
    this.settings = settings;
    topology = cache.topology();
    rules = cache.rules();
    feasibility = cache.feasibility();
    search = new BlockSearch(topology, blockTable);
    BitSet quarantined = evaluateQuarantine();
    eligibility =
        new WorkerEligibility(
            topology, view.configuration(), view.workers(), quarantined, settings, now);
    addJobs();
    ranking = new JobRanking(settings, now);
    ranking.rank(jobs);
    occupancy = new FleetOccupancy(topology, jobs, eligibility.inService());
    victimSearch = new VictimSearch(topology, search, occupancy);
    admission =
        new GuaranteeAdmission(view.configuration(), topology, rules, occupancy, search, jobs);
  }

  Plan build() {
    List<PlanningJob> planningOrder = new ArrayList<>();
    for (PlanningJob job : jobs) {
      boolean canMove = job.hasLeavingWorker && job.specification().checkpointable();
      if (!job.holdsResources() || canMove) {
        planningOrder.add(job);
      } else if (job.hasLeavingWorker) {
        stopIfDeadlineNear(job);
      }
    }
    planningOrder.sort(JobRanking.QUEUE_ORDER);
    reserveDrainedBlock(planningOrder);
    planningOrder.forEach(this::planJob);
    List<String> shortfalls = admission.shortfall().stream().map(Guarantee::describe).toList();
    return new Plan(decisions, waitReasons, shortfalls);
  }

  /** Reserves workers for the longest-waiting aged large gang: no pinned jobs start on them. */
  private void reserveDrainedBlock(List<PlanningJob> planningOrder) {
    PlanningJob longestWaiting =
        planningOrder.stream()
            .filter(job -> job.needsDrainedBlock)
            .max(Comparator.comparingDouble(job -> job.waitedSeconds))
            .orElse(null);
    if (longestWaiting == null) {
      return;
    }
    BitSet allowedWorkers = startableWorkers(longestWaiting);
    ReclaimPlan reclaimPlan =
        victimSearch.find(
            longestWaiting.shape(),
            allowedWorkers,
            occupancy.masksHeldBy(victim -> true),
            victim -> true);
    if (reclaimPlan != null) {
      reclaimPlan
          .placements()
          .forEach(placement -> drainedWorkers.set(topology.indexOf(placement.worker())));
    }
  }

  private BitSet startableWorkers(PlanningJob job) {
    BitSet allowedWorkers = (BitSet) rules.allowedWorkers(job.specification()).clone();
    allowedWorkers.and(eligibility.startable());
    return allowedWorkers;
  }

  private BitSet evaluateQuarantine() {
    QuarantineEvaluator evaluator = new QuarantineEvaluator(settings, now, view.workers());
    BitSet quarantined = new BitSet();
    for (WorkerView worker : view.workers()) {
      PlacementDecision decision = evaluator.evaluate(worker);
      if (decision != null) {
        decisions.add(decision);
      }
      if (worker.quarantined() || decision instanceof QuarantineWorker) {
        quarantined.set(topology.indexOf(worker.worker().name()));
      }
    }
    return quarantined;
  }

  private void addJobs() {
    Map<String, Customer> customers = new HashMap<>();
    view.configuration().customers().forEach(customer -> customers.put(customer.name(), customer));
    for (JobView job : view.jobs()) {
      Customer customer = customers.get(job.specification().customer());
      PlanningJob planningJob = new PlanningJob(job, customer, settings, now);
      planningJob.hasLeavingWorker = planningJob.holdsResources() && mustLeave(job);
      if (planningJob.holdsResources()) {
        heldAccelerators.merge(
            planningJob.customerName(), planningJob.shape().accelerators(), Integer::sum);
      }
      jobs.add(planningJob);
    }
  }

  private boolean mustLeave(JobView job) {
    for (MemberPlacement placement : job.placements()) {
      int index = topology.indexOf(placement.worker());
      if (index >= 0 && eligibility.mustLeave(index)) {
        return true;
      }
    }
    return false;
  }

  private void planJob(PlanningJob job) {
    if (!job.holdsResources() && refuse(job)) {
      return;
    }
    if (!job.holdsResources() && !isWithinQuota(job)) {
      return;
    }
    job.allowedWorkers = startableWorkers(job);
    if (job.isPinned() && !job.coveredByGuarantee) {
      job.allowedWorkers.andNot(drainedWorkers);
    }
    excludeUnsuitableWorkers(job);
    if (!startOnFreeAccelerators(job) && !reclaim(job)) {
      handleUnplaced(job);
    }
  }

  /**
   * Refuses a job that can never run: it exceeds the whole quota of its customer, has failed on too
   * many workers, or does not fit even an idle fleet.
   *
   * @return whether the job was refused
   */
  private boolean refuse(PlanningJob job) {
    Customer customer = job.customer;
    if (customer != null
        && customer.quotaAccelerators() > 0
        && job.shape().accelerators() > customer.quotaAccelerators()) {
      decisions.add(
          new RefuseJob(
              job.id(),
              ResultCode.QUOTA_EXCEEDED,
              "needs "
                  + job.shape().accelerators()
                  + " accelerators; the quota of "
                  + customer.name()
                  + " is "
                  + customer.quotaAccelerators()));
      return true;
    }
    Set<String> failedWorkers = new HashSet<>(job.view.failedWorkers());
    if (failedWorkers.size() >= settings.failedWorkersLimit()) {
      decisions.add(
          new RefuseJob(
              job.id(),
              ResultCode.JOB_FAILED_ON_SOUND_WORKERS,
              "failed on " + failedWorkers.size() + " workers: " + failedWorkers));
      return true;
    }
    Refusal refusal = job.wasPlacedBefore() ? null : feasibility.refusal(job.specification());
    if (refusal == null) {
      return false;
    }
    decisions.add(new RefuseJob(job.id(), refusal.code(), refusal.reason()));
    return true;
  }

  private boolean isWithinQuota(PlanningJob job) {
    Customer customer = job.customer;
    if (customer == null || customer.quotaAccelerators() == 0) {
      return true;
    }
    int held = heldAccelerators.getOrDefault(customer.name(), 0);
    if (held + job.shape().accelerators() <= customer.quotaAccelerators()) {
      return true;
    }
    waitReasons.put(
        job.id(),
        new WaitReason(
            "customer "
                + customer.name()
                + " holds "
                + held
                + " of its quota of "
                + customer.quotaAccelerators()
                + " accelerators",
            "the end of other jobs of this customer, or a higher quota"));
    return false;
  }

  private void excludeUnsuitableWorkers(PlanningJob job) {
    for (String workerName : job.view.failedWorkers()) {
      int index = topology.indexOf(workerName);
      if (index >= 0) {
        job.allowedWorkers.clear(index);
      }
    }
    if (job.shape().members() > 1) {
      job.allowedWorkers.andNot(eligibility.probation());
    }
  }

  private boolean startOnFreeAccelerators(PlanningJob job) {
    PlacementKey key = new PlacementKey(job);
    if (unplaceable.contains(key)) {
      return false;
    }
    List<MemberPlacement> placements = findFree(job);
    if (placements == null) {
      unplaceable.add(key);
      return false;
    }
    placements = admittedPlacements(job, placements);
    if (placements == null) {
      return false;
    }
    occupancy.claim(placements);
    if (job.holdsResources()) {
      stopForMove(job);
    } else {
      start(job, placements);
    }
    return true;
  }

  private @Nullable List<MemberPlacement> findFree(PlanningJob job) {
    boolean isSmall = job.shape().accelerators() < SMALL_JOB_ACCELERATORS;
    if (job.isPinned() && isSmall) {
      return search.find(
          occupancy.free, job.allowedWorkers, job.shape(), occupancy.pinnedAccelerators);
    }
    return search.find(occupancy.free, job.allowedWorkers, job.shape());
  }

  /**
   * Returns the given placements if the job may start there without endangering a guarantee,
   * otherwise other placements where it may, or null if there are none.
   */
  private @Nullable List<MemberPlacement> admittedPlacements(
      PlanningJob job, List<MemberPlacement> placements) {
    boolean needsNoAdmission = job.specification().stoppable() || job.holdsResources();
    if (needsNoAdmission || admission.admit(job, placements)) {
      return placements;
    }
    List<MemberPlacement> alternative =
        findAdmittedPlacements(admission.unguaranteedAccelerators(), job);
    if (alternative == null && isSpreadSearchAllowed(job)) {
      alternative = findAdmittedPlacements(admission.unguaranteedWithAnyDomainOut(), job);
    }
    job.blockedByGuarantees = alternative == null;
    return alternative;
  }

  /**
   * Returns whether to search placements that leave all guarantees reclaimable with any failure
   * domain out. For a job with a single member this rarely finds more than the first search, so it
   * is done only after a long wait.
   */
  private boolean isSpreadSearchAllowed(PlanningJob job) {
    return job.shape().members() > 1 || job.waitedSeconds >= settings.agingLimit().toSeconds();
  }

  private @Nullable List<MemberPlacement> findAdmittedPlacements(long[] masks, PlanningJob job) {
    for (int index = 0; index < masks.length; index++) {
      masks[index] &= occupancy.free[index];
    }
    List<MemberPlacement> placements = search.find(masks, job.allowedWorkers, job.shape());
    return placements != null && admission.admit(job, placements) ? placements : null;
  }

  private void start(PlanningJob job, List<MemberPlacement> placements) {
    heldAccelerators.merge(job.customerName(), job.shape().accelerators(), Integer::sum);
    decisions.add(new StartGang(job.id(), job.view.attempt() + 1, placements, startReason(job)));
  }

  private static String startReason(PlanningJob job) {
    return switch (job.rank) {
      case URGENT_COVERED, COVERED -> "free accelerators within the customer's guarantee";
      case URGENT -> "free accelerators for an urgent job";
      case AGED ->
          "has waited "
              + (long) job.waitedSeconds
              + " s, past the aging limit, and is placed first";
      case BY_SERVICE_LEVEL, DEFERRABLE -> "free accelerators at service level " + job.serviceLevel;
    };
  }

  private void stopForMove(PlanningJob job) {
    if (job.isAllocated()) {
      stop(
          job,
          StopReason.DOMAIN_LEAVING,
          "its failure domain is being taken out of service, and it fits elsewhere");
    }
  }

  private void stop(PlanningJob job, StopReason stopReason, String reason) {
    job.stopped = true;
    occupancy.markReleasing(job);
    decisions.add(new StopGang(job.id(), job.view.attempt(), stopReason, reason));
  }

  private boolean reclaim(PlanningJob job) {
    if (job.isNonStoppableBorrower() || !ranking.mayReclaim(job)) {
      return false;
    }
    ReclaimPlan reclaimPlan =
        victimSearch.find(
            job.shape(),
            job.allowedWorkers,
            stoppableMasksFor(job),
            victim -> ranking.isWorthReclaiming(job, victim));
    if (reclaimPlan == null) {
      return false;
    }
    if (!job.specification().stoppable()
        && !admission.admits(job.customerName(), job.shape(), reclaimPlan.placements())) {
      return false;
    }
    occupancy.claim(reclaimPlan.placements());
    for (PlanningJob victim : reclaimPlan.victims()) {
      stop(victim, StopReason.RECLAIMED, "its accelerators are reclaimed for " + job.id());
    }
    if (job.holdsResources()) {
      stopForMove(job);
    } else {
      waitReasons.put(
          job.id(),
          new WaitReason(
              "its accelerators are being freed",
              "the stop of jobs " + reclaimPlan.victims().stream().map(PlanningJob::id).toList()));
    }
    return true;
  }

  /**
   * Returns the accelerators of all jobs that the job may stop, apart from the stop cost, by worker
   * index.
   */
  private long[] stoppableMasksFor(PlanningJob job) {
    return stoppableMasks.computeIfAbsent(
        ReclaimerClass.of(job),
        reclaimer ->
            occupancy.masksHeldBy(
                held -> held.isAllocated() && ranking.mayReclaimFrom(reclaimer, held)));
  }

  private void handleUnplaced(PlanningJob job) {
    if (job.holdsResources()) {
      stopIfDeadlineNear(job);
      return;
    }
    waitReasons.put(job.id(), WaitReasons.noPlacement(job, settings));
  }

  private void stopIfDeadlineNear(PlanningJob job) {
    if (!job.isAllocated()) {
      return;
    }
    for (MemberPlacement placement : job.view.placements()) {
      int index = topology.indexOf(placement.worker());
      Instant deadline = index < 0 ? null : eligibility.deadline(index);
      if (deadline != null && !now.isBefore(deadline.minus(settings.leaveStopMargin()))) {
        stop(job, StopReason.DOMAIN_LEAVING, "jobs must leave its failure domain by " + deadline);
        return;
      }
    }
  }

  /** The inputs of a placement search; a search that failed is not repeated for the same inputs. */
  private record PlacementKey(Shape shape, BitSet allowedWorkers) {
    PlacementKey(PlanningJob job) {
      this(job.shape(), job.allowedWorkers);
    }
  }
}
