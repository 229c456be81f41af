package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeadershipKeeper;
import io.dragonflyturn.internal.placement.Decision;
import io.dragonflyturn.internal.placement.FleetView;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.placement.Plan;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
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
 * Plans while this replica leads: one round reads the state, decides, proposes, and waits for the
 * outcomes. The next one waits for those that are still open, so that a round never decides on a
 * state that misses its own last decisions or the workers that it has seen listed.
 */
final class PlanningLoop {
  private static final Logger LOG = Logger.getLogger(PlanningLoop.class);

  /** The longest pause between rounds while nothing changes. */
  private static final Duration IDLE_PAUSE = Duration.ofMillis(250);

  /** The shortest pause between rounds. */
  private static final Duration BUSY_PAUSE = Duration.ofMillis(20);

  /** How long a round waits for the outcomes of its proposals. */
  private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(5);

  private final ReplicatedState replica;
  private final LeadershipKeeper leadership;
  private final FleetViewFactory views;
  private final PlacementPolicy policy;
  private final CreditPlanner credits;
  private final Supplier<InstanceList> listed;
  private final InstantSource wallClock;
  private final SchedulerMetrics counters;
  private boolean led;

  /** The outcomes of the last proposals, and the term that these act under. */
  private List<CompletableFuture<ProposalOutcome>> open = List.of();

  private long openTerm;

  PlanningLoop(
      ReplicatedState replica,
      LeadershipKeeper leadership,
      FleetViewFactory views,
      PlacementPolicy policy,
      CreditPlanner credits,
      Supplier<InstanceList> listed,
      InstantSource wallClock,
      SchedulerMetrics counters) {
    this.replica = replica;
    this.leadership = leadership;
    this.views = views;
    this.policy = policy;
    this.credits = credits;
    this.listed = listed;
    this.wallClock = wallClock;
    this.counters = counters;
  }

  /** Runs rounds until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      final long before = replica.appliedOffset();
      leadership.tick();
      noteLeadership();
      if (leadership.leads()) {
        round();
      }
      Thread.sleep(BUSY_PAUSE);
      replica.awaitOffset(before + 1, IDLE_PAUSE);
    }
  }

  private void noteLeadership() {
    boolean leads = leadership.leads();
    if (leads && !led) {
      counters.leadershipTaken.inc();
      LOG.infof("this replica leads in term %d", term());
    } else if (!leads && led) {
      LOG.info("this replica leads no more");
    }
    led = leads;
  }

  /** Decides nothing while the state may miss what was proposed before in this term. */
  private void round() throws InterruptedException {
    long term = term();
    if (!awaitsOutcomes(term)) {
      propose(listedWorkers(), term);
    }
    if (!awaitsOutcomes(term)) {
      propose(decisions(), term);
    }
  }

  /** Records of an earlier term are fenced, so their outcomes need no waiting. */
  private boolean awaitsOutcomes(long term) {
    return term == openTerm && !open.stream().allMatch(CompletableFuture::isDone);
  }

  private List<ControlRecord> listedWorkers() {
    InstanceList list = listed.get();
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
    replica.read(credits::change).ifPresent(records::add);
    Instant now = wallClock.instant();
    PlanningBasis basis = replica.read(state -> basis(state, now));
    for (Decision decision : plan(basis.view(), now).decisions()) {
      counters.decisions.inc();
      records.add(DecisionRecords.of(decision, basis.configurationVersion()));
    }
    return records;
  }

  private PlanningBasis basis(ControlState state, Instant now) {
    return new PlanningBasis(views.view(state, now), state.configurationVersion());
  }

  private Plan plan(FleetView view, Instant now) {
    counters.plans.inc();
    try (var timing = counters.planTime.time()) {
      return policy.plan(view, now);
    }
  }

  private void propose(List<ControlRecord> records, long term) throws InterruptedException {
    List<CompletableFuture<ProposalOutcome>> outcomes = new ArrayList<>();
    for (ControlRecord record : records) {
      outcomes.add(replica.propose(record, term));
    }
    open = outcomes;
    openTerm = term;
    for (CompletableFuture<ProposalOutcome> outcome : outcomes) {
      await(outcome);
    }
  }

  private void await(CompletableFuture<ProposalOutcome> outcome) throws InterruptedException {
    try {
      ProposalOutcome decided = outcome.get(OUTCOME_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      if (!decided.code().isSuccess()) {
        counters.decisionsRefused.inc();
        LOG.debugf("a decision was refused: %s %s", decided.code(), decided.message());
      }
    } catch (ExecutionException | TimeoutException lost) {
      // Once it is known what became of this proposal, a round decides again from the state.
      counters.decisionsRefused.inc();
    }
  }

  private long term() {
    return replica.read(state -> state.leadership().term());
  }

  /** What a round decides from, read in one go. */
  private record PlanningBasis(FleetView view, long configurationVersion) {}
}
