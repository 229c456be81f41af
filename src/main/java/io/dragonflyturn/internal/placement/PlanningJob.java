package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import org.jspecify.annotations.Nullable;

/**
 * The planning state of one job: its view, and the rank, costs and allowed workers that are
 * computed while one plan is made.
 */
final class PlanningJob {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Penalty that makes the search for a block to drain avoid non-stoppable jobs. */
  private static final double NON_STOPPABLE_COST_SECONDS = 100_000;

  /** Width of the service level in {@link #chargeOrderKey}. */
  private static final int SERVICE_LEVEL_BITS = 14;

  /** Width of the submission time, in milliseconds since the epoch, in the same key. */
  private static final int SUBMITTED_MILLIS_BITS = 46;

  final JobView view;
  final @Nullable Customer customer;

  /** The attained-service level, from 0 for the least attained service. */
  final int serviceLevel;

  /** How long the job has run over all attempts. */
  final double runSeconds;

  /** How long the job has existed without running. */
  final double waitedSeconds;

  /** The accelerator seconds that are lost if the gang is stopped now. */
  final double stopCostAcceleratorSeconds;

  /** Sort key for the order in which jobs are charged to guarantees; lower keys come first. */
  final long chargeOrderKey;

  /** The number of the last cost computation that included the job as a victim. */
  long lastCostComputation;

  /** Whether a guarantee of the customer covers the job. */
  boolean coveredByGuarantee;

  /** The queue class: a lower rank is placed first and may stop jobs of a higher one. */
  Rank rank = Rank.BY_SERVICE_LEVEL;

  /** Whether a member runs on a worker that jobs must leave. */
  boolean hasLeavingWorker;

  /** Whether the job is so large and has waited so long that a block is drained for it. */
  boolean needsDrainedBlock;

  /** Whether accelerators were free, but guarantees did not admit the job to them. */
  boolean blockedByGuarantees;

  /** Whether the current plan stops the job. */
  boolean stopped;

  /** The indexes of the workers on which the job may start, after rules and earlier failures. */
  BitSet allowedWorkers = new BitSet();

  PlanningJob(JobView view, @Nullable Customer customer, PolicySettings settings, Instant now) {
    this.view = view;
    this.customer = customer;
    runSeconds = view.attainedAcceleratorSeconds() / Math.max(1, shape().accelerators());
    serviceLevel = settings.serviceLevel(runSeconds);
    double ageSeconds = Duration.between(view.submittedAt(), now).toMillis() / MILLIS_PER_SECOND;
    waitedSeconds = Math.max(0, ageSeconds - runSeconds);
    stopCostAcceleratorSeconds = stopCostAcceleratorSeconds(settings);
    chargeOrderKey = chargeOrderKey();
  }

  JobSpecification specification() {
    return view.specification();
  }

  Shape shape() {
    return specification().shape();
  }

  String id() {
    return specification().id();
  }

  String customerName() {
    return specification().customer();
  }

  /**
   * Returns whether an attempt of the job was ever placed. Such a job fits the fleet when all
   * workers are listed.
   */
  boolean wasPlacedBefore() {
    return view.attempt() > 0;
  }

  /** Returns whether the job holds accelerators, also while it stops. */
  boolean holdsResources() {
    return view.phase() != AllocationPhase.QUEUED;
  }

  /** Returns whether the job cannot be stopped, or would lose all completed work if it were. */
  boolean isPinned() {
    return !specification().stoppable() || !specification().checkpointable();
  }

  /** Returns whether the job holds accelerators and is not being stopped. */
  boolean isAllocated() {
    return view.phase() == AllocationPhase.ALLOCATED && !stopped;
  }

  private double stopCostAcceleratorSeconds(PolicySettings settings) {
    double savedSeconds = specification().checkpointable() ? view.checkpointSeconds() : 0;
    double lostSeconds = Math.max(0, view.completedSeconds() - savedSeconds);
    double nonStoppableSeconds = specification().stoppable() ? 0 : NON_STOPPABLE_COST_SECONDS;
    double seconds = lostSeconds + settings.restartCost().toSeconds() + nonStoppableSeconds;
    return seconds * Math.max(1, shape().accelerators());
  }

  /**
   * Returns the sort key: allocated non-stoppable jobs first, then urgent jobs, then allocated
   * jobs, then lower service levels, then earlier submission.
   */
  private long chargeOrderKey() {
    long chargeClass = specification().stoppable() || !holdsResources() ? 4 : 0;
    chargeClass += specification().urgency() != Urgency.URGENT ? 2 : 0;
    chargeClass += holdsResources() ? 0 : 1;
    long key = chargeClass << SERVICE_LEVEL_BITS | serviceLevel;
    return key << SUBMITTED_MILLIS_BITS | Math.max(0, view.submittedAt().toEpochMilli());
  }

  /** The queue classes, from first to last. */
  enum Rank {
    /** An urgent job that a guarantee covers. */
    URGENT_COVERED,
    /** A job that a guarantee covers. */
    COVERED,
    /** An urgent job that borrows capacity. */
    URGENT,
    /** A borrowing job that has waited past the aging limit. */
    AGED,
    /** A borrowing job of normal urgency; ordered by attained service. */
    BY_SERVICE_LEVEL,
    /** A borrowing job that its customer declared deferrable. */
    DEFERRABLE
  }

  /**
   * Returns whether the job is non-stoppable and not covered by a guarantee. Such a job never stops
   * others, because what it borrows could not be reclaimed.
   */
  boolean isNonStoppableBorrower() {
    return !specification().stoppable() && !coveredByGuarantee;
  }
}
