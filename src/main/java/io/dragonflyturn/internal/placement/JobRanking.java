package io.dragonflyturn.internal.placement;

import io.dragonflyturn.internal.placement.PlanningJob.Rank;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks jobs and decides which jobs may stop which others. The order is: covered urgent jobs, other
 * covered jobs, urgent jobs, jobs that waited past the aging limit, then least attained service
 * first, then deferrable jobs. Declared run times are not trusted and not used.
 */
final class JobRanking {
  /** The order in which queued jobs are placed. */
  static final Comparator<PlanningJob> QUEUE_ORDER =
      Comparator.comparing((PlanningJob job) -> job.rank)
          .thenComparingInt(job -> job.serviceLevel)
          .thenComparing(job -> job.view.submittedAt())
          .thenComparing(PlanningJob::id);

  /** The order in which jobs are charged to the guarantees of their customer. */
  private static final Comparator<PlanningJob> CHARGE_ORDER = JobRanking::compareChargeOrder;

  private final PolicySettings settings;
  private final Instant now;

  JobRanking(PolicySettings settings, Instant now) {
    this.settings = settings;
    this.now = now;
  }

  /** Sets the coverage by guarantees and the rank of every job. */
  void rank(List<PlanningJob> jobs) {
    Map<String, List<PlanningJob>> byCustomer = new HashMap<>();
    for (PlanningJob job : jobs) {
      byCustomer.computeIfAbsent(job.customerName(), name -> new ArrayList<>()).add(job);
    }
    byCustomer.values().forEach(this::assignCoverage);
    jobs.forEach(job -> job.rank = rankOf(job));
    jobs.forEach(
        job ->
            job.needsDrainedBlock = job.rank == Rank.AGED && !job.holdsResources() && isLarge(job));
  }

  /** Returns whether the job may stop others now, given its rank, size and waiting time. */
  boolean mayReclaim(PlanningJob job) {
    return switch (job.rank) {
      case URGENT_COVERED, URGENT -> true;
      case COVERED -> job.waitedSeconds >= settings.coveredReclaimDelay().toSeconds();
      case AGED -> job.needsDrainedBlock;
      case BY_SERVICE_LEVEL ->
          isLarge(job) && job.waitedSeconds >= settings.serviceLevelReclaimDelay().toSeconds();
      case DEFERRABLE -> false;
    };
  }

  /**
   * Returns whether jobs of the class may stop the victim, apart from the cost of the stop that
   * {@link #isWorthReclaiming} checks.
   */
  boolean mayReclaimFrom(ReclaimerClass reclaimer, PlanningJob victim) {
    if (!victim.specification().stoppable()) {
      return false;
    }
    return switch (reclaimer.rank()) {
      case URGENT_COVERED, COVERED, URGENT -> reclaimer.rank().compareTo(victim.rank) < 0;
      case AGED -> mayBeDisplaced(victim) && hasMinimumRunTime(victim);
      case BY_SERVICE_LEVEL ->
          isBelowAged(victim)
              && reclaimer.serviceLevel() < victim.serviceLevel
              && isCheapToStop(victim);
      case DEFERRABLE -> false;
    };
  }

  /**
   * Returns whether the job gains more than the victim loses. For aged jobs, the wait must outweigh
   * the stop cost of the victim. A job never reclaims from itself.
   */
  boolean isWorthReclaiming(PlanningJob job, PlanningJob victim) {
    return victim != job && (job.rank != Rank.AGED || outweighsStopCost(job, victim));
  }

  /**
   * Returns whether a drained block may displace the victim: it ranks below aged jobs, or it is
   * covered, small and can resume elsewhere from a checkpoint.
   */
  private boolean mayBeDisplaced(PlanningJob victim) {
    boolean canMove = victim.specification().checkpointable() && !isLarge(victim);
    return isBelowAged(victim) || (victim.rank == Rank.COVERED && canMove);
  }

  private static boolean isBelowAged(PlanningJob victim) {
    return victim.rank.compareTo(Rank.BY_SERVICE_LEVEL) >= 0;
  }

  private boolean isCheapToStop(PlanningJob victim) {
    return victim.specification().checkpointable() && hasMinimumRunTime(victim);
  }

  private boolean outweighsStopCost(PlanningJob job, PlanningJob victim) {
    double waitedAcceleratorSeconds = job.waitedSeconds * Math.max(1, job.shape().accelerators());
    return victim.stopCostAcceleratorSeconds
        < waitedAcceleratorSeconds * settings.maximumStopCostPerWaitedSecond();
  }

  private static int compareChargeOrder(PlanningJob left, PlanningJob right) {
    if (left.chargeOrderKey != right.chargeOrderKey) {
      return left.chargeOrderKey < right.chargeOrderKey ? -1 : 1;
    }
    int submitted = left.view.submittedAt().compareTo(right.view.submittedAt());
    return submitted != 0 ? submitted : left.id().compareTo(right.id());
  }

  private void assignCoverage(List<PlanningJob> jobs) {
    Customer customer = jobs.get(0).customer;
    if (customer == null || customer.guarantees().isEmpty()) {
      return;
    }
    GuaranteeLedger ledger = new GuaranteeLedger(customer.guarantees());
    List<PlanningJob> sorted = new ArrayList<>(jobs);
    sorted.sort(CHARGE_ORDER);
    for (PlanningJob job : sorted) {
      job.coveredByGuarantee = ledger.cover(job.shape());
    }
  }

  private Rank rankOf(PlanningJob job) {
    Urgency urgency = job.specification().urgency();
    if (job.coveredByGuarantee) {
      return urgency == Urgency.URGENT ? Rank.URGENT_COVERED : Rank.COVERED;
    }
    if (urgency == Urgency.URGENT) {
      return Rank.URGENT;
    }
    if (isAged(job)) {
      return Rank.AGED;
    }
    return urgency == Urgency.DEFERRABLE ? Rank.DEFERRABLE : Rank.BY_SERVICE_LEVEL;
  }

  private boolean isLarge(PlanningJob job) {
    return job.shape().accelerators() >= settings.largeJobAccelerators();
  }

  private boolean isAged(PlanningJob job) {
    Duration baseLimit = isLarge(job) ? settings.largeJobAgingLimit() : settings.agingLimit();
    double limitSeconds = baseLimit.toSeconds() + settings.agingFactor() * job.runSeconds;
    return job.waitedSeconds > limitSeconds;
  }

  private boolean hasMinimumRunTime(PlanningJob victim) {
    Instant started = victim.view.startedAt();
    return started != null
        && Duration.between(started, now).compareTo(settings.minimumRunTime()) >= 0;
  }

  /**
   * The properties of a job that decide which others it may stop, apart from the stop cost. Jobs of
   * the same class have the same candidates.
   */
  record ReclaimerClass(Rank rank, int serviceLevel) {
    static ReclaimerClass of(PlanningJob job) {
      return new ReclaimerClass(job.rank, job.rank == Rank.BY_SERVICE_LEVEL ? job.serviceLevel : 0);
    }
  }
}
