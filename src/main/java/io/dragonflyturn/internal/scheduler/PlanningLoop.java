package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeaderElector;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.PlacementDecision;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.placement.Plan;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Leadership;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Runs the placement policy in rounds while this replica is the leader. Each round reads the state,
 * plans, proposes the resulting records, and waits for their outcomes. A round does not plan while
 * outcomes of the same term are pending, because the state would lack the loop's own latest
 * decisions or the latest listed workers.
 */
final class PlanningLoop {
  private static final Logger LOG = Logger.getLogger(PlanningLoop.class);

  /** The maximum pause between rounds while the state does not change. */
  private static final Duration IDLE_PAUSE = Duration.ofMillis(250);

  /** The minimum pause between rounds. */
  private static final Duration MINIMUM_PAUSE = Duration.ofMillis(20);

  /** How long a round waits for the outcomes of its proposals. */
  private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(5);

  /** The term of a replica that does not lead. */
  private static final long NO_TERM = 0;

  private final ReplicatedState replica;
  private final LeaderElector leadership;
  private final FleetViewFactory viewFactory;
  private final PlacementPolicy policy;
  private final CreditPlanner creditPlanner;
  private final Supplier<InstanceList> instanceListSupplier;
  private final InstantSource wallClock;
  private final SchedulerMetrics metrics;
  private boolean wasLeader;

  /** The outcomes of the last proposals, which were made in {@link #pendingTerm}. */
  private List<CompletableFuture<ProposalOutcome>> pendingOutcomes = List.of();

  private long pendingTerm;

  PlanningLoop(
      ReplicatedState replica,
      LeaderElector leadership,
      FleetViewFactory viewFactory,
      PlacementPolicy policy,
      CreditPlanner creditPlanner,
      Supplier<InstanceList> instanceListSupplier,
      InstantSource wallClock,
      SchedulerMetrics metrics) {
    this.replica = replica;
    this.leadership = leadership;
    this.viewFactory = viewFactory;
    this.policy = policy;
    this.creditPlanner = creditPlanner;
    this.instanceListSupplier = instanceListSupplier;
    this.wallClock = wallClock;
    this.metrics = metrics;
  }

  /** Runs rounds until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      final long previousOffset = replica.appliedOffset();
      leadership.tick();
      recordLeadershipChange();
      if (leadership.leads()) {
        runRound();
      }
      Thread.sleep(MINIMUM_PAUSE);
      replica.awaitOffset(previousOffset + 1, IDLE_PAUSE);
    }
  }

  private void recordLeadershipChange() {
    boolean leads = leadership.leads();
    if (leads && !wasLeader) {
      metrics.leadershipTaken.inc();
      LOG.infof("this replica became the leader in term %d", term());
    } else if (!leads && wasLeader) {
      LOG.info("this replica is no longer the leader");
    }
    wasLeader = leads;
  }

  /** Makes no decisions while proposals of the current term are pending. */
  private void runRound() throws InterruptedException {
    long term = ownTerm();
    if (term == NO_TERM) {
      return;
    }
    if (!hasPendingOutcomes(term)) {
      propose(listedWorkers(), term);
    }
    if (!hasPendingOutcomes(term)) {
      propose(decisions(), term);
    }
  }

  /**
   * Returns whether proposals of the given term are pending. Those of an earlier term are fenced,
   * so there is no need to wait for them.
   */
  private boolean hasPendingOutcomes(long term) {
    return term == pendingTerm && !pendingOutcomes.stream().allMatch(CompletableFuture::isDone);
  }

  private List<ControlRecord> listedWorkers() {
    InstanceList list = instanceListSupplier.get();
    if (list.equals(InstanceList.EMPTY)) {
      return List.of();
    }
    return replica
        .read(state -> WorkerListDiff.difference(state, list.workers()))
        .<List<ControlRecord>>map(List::of)
        .orElse(List.of());
  }

  private List<ControlRecord> decisions() {
    List<ControlRecord> records = new ArrayList<>();
    replica.read(creditPlanner::change).ifPresent(records::add);
    Instant now = wallClock.instant();
    PlanningInput planningInput = replica.read(state -> planningInput(state, now));
    for (PlacementDecision decision : plan(planningInput.view(), now).decisions()) {
      metrics.decisions.inc();
      records.add(DecisionRecords.of(decision, planningInput.configurationVersion()));
    }
    return records;
  }

  private PlanningInput planningInput(ControlState state, Instant now) {
    return new PlanningInput(viewFactory.view(state, now), state.configurationVersion());
  }

  private Plan plan(FleetView view, Instant now) {
    metrics.plans.inc();
    try (var timer = metrics.planTime.time()) {
      return policy.plan(view, now);
    }
  }

  private void propose(List<ControlRecord> records, long term) throws InterruptedException {
    List<CompletableFuture<ProposalOutcome>> outcomes = new ArrayList<>();
    for (ControlRecord record : records) {
      outcomes.add(replica.propose(record, term));
    }
    pendingOutcomes = outcomes;
    pendingTerm = term;
    for (CompletableFuture<ProposalOutcome> outcome : outcomes) {
      await(outcome);
    }
  }

  private void await(CompletableFuture<ProposalOutcome> outcome) throws InterruptedException {
    try {
      ProposalOutcome result = outcome.get(OUTCOME_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      if (!result.code().isSuccess()) {
        metrics.decisionsRefused.inc();
        LOG.debugf("proposal rejected: %s %s", result.code(), result.message());
      }
    } catch (ExecutionException | TimeoutException unconfirmed) {
      // The next round that plans starts once this outcome is known, and reads the state again.
      metrics.decisionsRefused.inc();
    }
  }

  /** Returns the current term if this replica leads it; otherwise {@link #NO_TERM}. */
  private long ownTerm() {
    Leadership current = replica.read(ControlState::leadership);
    return current.leader().equals(leadership.incarnation()) ? current.term() : NO_TERM;
  }

  private long term() {
    return replica.read(state -> state.leadership().term());
  }

  /** A consistent view of the state that a round plans from. */
  private record PlanningInput(FleetView view, long configurationVersion) {}
}
