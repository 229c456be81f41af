package io.dragonflyturn.internal.placement;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.placement.PlacementDecision.QuarantineWorker;
import io.dragonflyturn.internal.placement.PlacementDecision.RefuseJob;
import io.dragonflyturn.internal.placement.PlacementDecision.StartGang;
import io.dragonflyturn.internal.placement.PlacementDecision.StopGang;
import io.dragonflyturn.internal.placement.EmptyFleet.Refusal;
import io.dragonflyturn.internal.placement.JobRanking.StopperClass;
import io.dragonflyturn.internal.placement.VictimSearch.Reclaim;
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

/** The making of one plan. */
final class PlanRun {
  private static final int SMALL_ACCELERATORS = 8;

  private final FleetView view;
  private final Instant now;
  private final PolicySettings settings;
  private final Topology topology;
  private final RuleSet rules;
  private final EmptyFleet emptyFleet;
  private final BlockSearch search;
  private final List<JobEntry> jobs = new ArrayList<>();
  private final Map<String, Integer> heldAccelerators = new HashMap<>();
  private final List<PlacementDecision> decisions = new ArrayList<>();
  private final Map<String, WaitReason> waiting = new LinkedHashMap<>();
  private final Set<PlacementKey> misfits = new HashSet<>();
  private final Map<StopperClass, long[]> stoppable = new HashMap<>();
  private final BitSet drained = new BitSet();
  private final JobRanking ranking;
  private final WorkerGate gate;
  private final FleetOccupancy occupancy;
  private final VictimSearch victims;
  private final GuaranteeGate guarantees;

  PlanRun(
      FleetView view, Instant now, PolicySettings settings, BlockTable table, FleetTables tables) {
    this.view = view;
    this.now = now;
    this.settings = settings;
    topology = tables.topology();
    rules = tables.rules();
    emptyFleet = tables.emptyFleet();
    search = new BlockSearch(topology, table);
    BitSet quarantined = judgeWorkers();
    gate =
        new WorkerGate(topology, view.configuration(), view.workers(), quarantined, settings, now);
    addJobs();
    ranking = new JobRanking(settings, now);
    ranking.rank(jobs);
    occupancy = new FleetOccupancy(topology, jobs, gate.inService());
    victims = new VictimSearch(topology, search, occupancy);
    guarantees = new GuaranteeGate(view.configuration(), topology, rules, occupancy, search, jobs);
  }

  Plan run() {
    List<JobEntry> order = new ArrayList<>();
    for (JobEntry job : jobs) {
      boolean moves = job.leaving && job.specification().checkpointable();
      if (!job.holdsPlaces() || moves) {
        order.add(job);
      } else if (job.leaving) {
        stopAtDeadline(job);
      }
    }
    order.sort(JobRanking.ORDER);
    reserveBlock(order);
    order.forEach(this::decide);
    List<String> shortfalls =
        guarantees.shortfall().stream().map(GuaranteedBlock::describe).toList();
    return new Plan(decisions, waiting, shortfalls);
  }

  /** Keeps work that cannot move off the block that the longest waiting large gang needs. */
  private void reserveBlock(List<JobEntry> order) {
    JobEntry oldest =
        order.stream()
            .filter(job -> job.drains)
            .max(Comparator.comparingDouble(job -> job.waitedSeconds))
            .orElse(null);
    if (oldest == null) {
      return;
    }
    BitSet allowed = allowedNow(oldest);
    Reclaim block =
        victims.find(oldest.shape(), allowed, occupancy.held(victim -> true), victim -> true);
    if (block != null) {
      block.placements().forEach(place -> drained.set(topology.indexOf(place.worker())));
    }
  }

  private BitSet allowedNow(JobEntry job) {
    BitSet allowed = (BitSet) rules.allowed(job.specification()).clone();
    allowed.and(gate.startable());
    return allowed;
  }

  private BitSet judgeWorkers() {
    QuarantineJudge judge = new QuarantineJudge(settings, now, view.workers());
    BitSet quarantined = new BitSet();
    for (WorkerView worker : view.workers()) {
      PlacementDecision decision = judge.judge(worker);
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
    view.configuration().customers().forEach(entry -> customers.put(entry.name(), entry));
    for (JobView job : view.jobs()) {
      Customer customer = customers.get(job.specification().customer());
      JobEntry entry = new JobEntry(job, customer, settings, now);
      entry.leaving = entry.holdsPlaces() && mustLeave(job);
      if (entry.holdsPlaces()) {
        heldAccelerators.merge(entry.customerName(), entry.shape().accelerators(), Integer::sum);
      }
      jobs.add(entry);
    }
  }

  private boolean mustLeave(JobView job) {
    for (MemberPlacement placement : job.placements()) {
      int index = topology.indexOf(placement.worker());
      if (index >= 0 && gate.mustLeave(index)) {
        return true;
      }
    }
    return false;
  }

  private void decide(JobEntry job) {
    if (!job.holdsPlaces() && refuse(job)) {
      return;
    }
    if (!job.holdsPlaces() && !withinQuota(job)) {
      return;
    }
    job.allowed = allowedNow(job);
    if (job.isPinned() && !job.covered) {
      job.allowed.andNot(drained);
    }
    excludeFailedWorkers(job);
    if (!startOnFree(job) && !reclaim(job)) {
      keepWaiting(job);
    }
  }

  private boolean refuse(JobEntry job) {
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
    Set<String> failedOn = new HashSet<>(job.view.failedWorkers());
    if (failedOn.size() >= settings.failedWorkersLimit()) {
      decisions.add(
          new RefuseJob(
              job.id(),
              ResultCode.JOB_FAILED_ON_SOUND_WORKERS,
              "failed on " + failedOn.size() + " workers: " + failedOn));
      return true;
    }
    Refusal refusal = job.hasHeldPlaces() ? null : emptyFleet.refusal(job.specification());
    if (refusal == null) {
      return false;
    }
    decisions.add(new RefuseJob(job.id(), refusal.code(), refusal.reason()));
    return true;
  }

  private boolean withinQuota(JobEntry job) {
    Customer customer = job.customer;
    if (customer == null || customer.quotaAccelerators() == 0) {
      return true;
    }
    int held = heldAccelerators.getOrDefault(customer.name(), 0);
    if (held + job.shape().accelerators() <= customer.quotaAccelerators()) {
      return true;
    }
    waiting.put(
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

  private void excludeFailedWorkers(JobEntry job) {
    for (String failed : job.view.failedWorkers()) {
      int index = topology.indexOf(failed);
      if (index >= 0) {
        job.allowed.clear(index);
      }
    }
    if (job.shape().members() > 1) {
      job.allowed.andNot(gate.probation());
    }
  }

  private boolean startOnFree(JobEntry job) {
    PlacementKey key = new PlacementKey(job);
    if (misfits.contains(key)) {
      return false;
    }
    List<MemberPlacement> placements = findFree(job);
    if (placements == null) {
      misfits.add(key);
      return false;
    }
    placements = admitted(job, placements);
    if (placements == null) {
      return false;
    }
    occupancy.claim(placements);
    if (job.holdsPlaces()) {
      move(job);
    } else {
      start(job, placements);
    }
    return true;
  }

  private @Nullable List<MemberPlacement> findFree(JobEntry job) {
    boolean small = job.shape().accelerators() < SMALL_ACCELERATORS;
    if (job.isPinned() && small) {
      return search.find(occupancy.free, job.allowed, job.shape(), occupancy.pinned);
    }
    return search.find(occupancy.free, job.allowed, job.shape());
  }

  private @Nullable List<MemberPlacement> admitted(JobEntry job, List<MemberPlacement> placements) {
    boolean free = job.specification().stoppable() || job.holdsPlaces();
    if (free || guarantees.admit(job, placements)) {
      return placements;
    }
    List<MemberPlacement> others = admittedIn(guarantees.beyondGuarantees(), job);
    if (others == null && maySpread(job)) {
      others = admittedIn(guarantees.beyondGuaranteesWithAnyDomainOut(), job);
    }
    job.blockedByGuarantees = others == null;
    return others;
  }

  /** Returns whether to look for rare places: single members find others but in rare cases. */
  private boolean maySpread(JobEntry job) {
    return job.shape().members() > 1 || job.waitedSeconds >= settings.agingLimit().toSeconds();
  }

  private @Nullable List<MemberPlacement> admittedIn(long[] masks, JobEntry job) {
    for (int index = 0; index < masks.length; index++) {
      masks[index] &= occupancy.free[index];
    }
    List<MemberPlacement> places = search.find(masks, job.allowed, job.shape());
    return places != null && guarantees.admit(job, places) ? places : null;
  }

  private void start(JobEntry job, List<MemberPlacement> placements) {
    heldAccelerators.merge(job.customerName(), job.shape().accelerators(), Integer::sum);
    decisions.add(new StartGang(job.id(), job.view.attempt() + 1, placements, startReason(job)));
  }

  private static String startReason(JobEntry job) {
    return switch (job.rank) {
      case URGENT_COVERED, COVERED -> "free places within the customer's guarantee";
      case URGENT -> "free places for urgent work";
      case AGED -> "has waited " + (long) job.waitedSeconds + " s and goes first";
      case LEVEL, DEFERRABLE -> "free places at service level " + job.level;
    };
  }

  private void move(JobEntry job) {
    if (job.isHeld()) {
      stop(job, StopReason.DOMAIN_LEAVING, "its failure domain is leaving, and it fits elsewhere");
    }
  }

  private void stop(JobEntry job, StopReason stopReason, String reason) {
    job.stopped = true;
    occupancy.release(job);
    decisions.add(new StopGang(job.id(), job.view.attempt(), stopReason, reason));
  }

  private boolean reclaim(JobEntry job) {
    if (job.isBound() || !ranking.mayReclaim(job)) {
      return false;
    }
    Reclaim reclaim =
        victims.find(
            job.shape(), job.allowed, stoppableFor(job), victim -> ranking.isWorthIt(job, victim));
    if (reclaim == null) {
      return false;
    }
    if (!job.specification().stoppable()
        && !guarantees.admits(job.customerName(), job.shape(), reclaim.placements())) {
      return false;
    }
    occupancy.claim(reclaim.placements());
    for (JobEntry victim : reclaim.victims()) {
      stop(victim, StopReason.RECLAIMED, "its accelerators are reclaimed for " + job.id());
    }
    if (job.holdsPlaces()) {
      move(job);
    } else {
      waiting.put(
          job.id(),
          new WaitReason(
              "its places are being freed",
              "the stop of " + reclaim.victims().stream().map(JobEntry::id).toList()));
    }
    return true;
  }

  /** Returns the accelerators of the work that the job may stop where that is worth it. */
  private long[] stoppableFor(JobEntry job) {
    return stoppable.computeIfAbsent(
        StopperClass.of(job),
        stopper -> occupancy.held(held -> held.isHeld() && ranking.mayStop(stopper, held)));
  }

  private void keepWaiting(JobEntry job) {
    if (job.holdsPlaces()) {
      stopAtDeadline(job);
      return;
    }
    waiting.put(job.id(), WaitReasons.noPlace(job, settings));
  }

  private void stopAtDeadline(JobEntry job) {
    if (!job.isHeld()) {
      return;
    }
    for (MemberPlacement placement : job.view.placements()) {
      int index = topology.indexOf(placement.worker());
      Instant deadline = index < 0 ? null : gate.deadline(index);
      if (deadline != null && !now.isBefore(deadline.minus(settings.leaveMargin()))) {
        stop(job, StopReason.DOMAIN_LEAVING, "its failure domain leaves at " + deadline);
        return;
      }
    }
  }

  private record PlacementKey(Shape shape, BitSet allowed) {
    PlacementKey(JobEntry job) {
      this(job.shape(), job.allowed);
    }
  }
}
