package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import org.jspecify.annotations.Nullable;

/** A job while one plan is made: its view and what the plan works out about it. */
final class JobEntry {
  private static final double MILLIS_PER_SECOND = 1_000;

  private static final double UNSTOPPABLE_SECONDS = 100_000;

  private static final int LEVEL_BITS = 14;

  private static final int MILLIS_BITS = 46;

  final JobView view;
  final @Nullable Customer customer;
  final int level;
  final double runSeconds;
  final double waitedSeconds;

  /** The accelerator seconds that are lost when the gang is stopped now. */
  final double stopCost;

  /** What decides the order in which jobs are charged to guarantees, but for ties. */
  final long chargeKey;

  /** The search that last counted the job among its victims. */
  long countedBySearch;

  /** Whether the customer's guarantee covers the job. */
  boolean covered;

  /** The place in the order: lower goes first and may stop higher. */
  Rank rank = Rank.LEVEL;

  /** Whether a member stands where work must leave. */
  boolean leaving;

  /** Whether the job has waited longest of all, and a block is drained for it. */
  boolean drains;

  /** Whether places were free and guarantees kept the job from them. */
  boolean blockedByGuarantees;

  /** Whether this plan stops the job. */
  boolean stopped;

  /** The workers on which rules and failures let the job run. */
  BitSet allowed = new BitSet();

  JobEntry(JobView view, @Nullable Customer customer, PolicySettings settings, Instant now) {
    this.view = view;
    this.customer = customer;
    runSeconds = view.attainedAcceleratorSeconds() / Math.max(1, shape().accelerators());
    level = settings.level(runSeconds);
    double age = Duration.between(view.submittedAt(), now).toMillis() / MILLIS_PER_SECOND;
    waitedSeconds = Math.max(0, age - runSeconds);
    stopCost = stopCost(settings);
    chargeKey = chargeKey();
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
   * Returns whether an attempt was ever placed, so that the job fits the fleet when it is whole.
   */
  boolean hasHeldPlaces() {
    return view.attempt() > 0;
  }

  boolean holdsPlaces() {
    return view.phase() != AllocationPhase.QUEUED;
  }

  /** Returns whether stopping the job is impossible or loses all its work. */
  boolean isPinned() {
    return !specification().stoppable() || !specification().checkpointable();
  }

  boolean isHeld() {
    return view.phase() == AllocationPhase.ALLOCATED && !stopped;
  }

  private double stopCost(PolicySettings settings) {
    double kept = specification().checkpointable() ? view.checkpointSeconds() : 0;
    double lost = Math.max(0, view.completedSeconds() - kept);
    double unstoppable = specification().stoppable() ? 0 : UNSTOPPABLE_SECONDS;
    double seconds = lost + settings.restartCost().toSeconds() + unstoppable;
    return seconds * Math.max(1, shape().accelerators());
  }

  /**
   * Running work that cannot be stopped goes first, then urgent work, then running work, then low
   * levels, then what was submitted early.
   */
  private long chargeKey() {
    long chargeClass = specification().stoppable() || !holdsPlaces() ? 4 : 0;
    chargeClass += specification().urgency() != Urgency.URGENT ? 2 : 0;
    chargeClass += holdsPlaces() ? 0 : 1;
    long key = chargeClass << LEVEL_BITS | level;
    return key << MILLIS_BITS | Math.max(0, view.submittedAt().toEpochMilli());
  }

  /** The classes of the queue, from first to last. */
  enum Rank {
    URGENT_COVERED,
    COVERED,
    URGENT,
    AGED,
    LEVEL,
    DEFERRABLE
  }

  /** Returns whether the job never stops others: it would hold for good what it borrows. */
  boolean isBound() {
    return !specification().stoppable() && !covered;
  }
}
