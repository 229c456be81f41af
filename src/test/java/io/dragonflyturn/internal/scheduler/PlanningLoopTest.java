package io.dragonflyturn.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.internal.log.NanosecondClock;
import io.dragonflyturn.internal.log.PeerLog;
import io.dragonflyturn.internal.log.ReplicaSettings;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeaderElector;
import io.dragonflyturn.internal.membership.MembershipSettings;
import io.dragonflyturn.internal.membership.PeerTable;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.JobPhase;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlanningLoopTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int ACCELERATORS = 8;
  private static final Shape WHOLE_WORKER = new Shape(1, ACCELERATORS, Span.WORKER);
  private static final Shape HALF_WORKER = new Shape(1, ACCELERATORS / 2, Span.WORKER);

  /** The number of rounds within which a wrong decision would be made. */
  private static final int SEVERAL_ROUNDS = 3;

  private static final String PLANNER = "planner";
  private static final String JOB = "keeper";

  /** The name of a field that occurs only in reservation records. */
  private static final String RESERVATION = "placements";

  private final InterceptingLog log = new InterceptingLog();
  private final ReplicatedState replica = replica(PLANNER);
  private final ReplicatedState operator = replica("operator");
  private final SchedulerMetrics metrics = new SchedulerMetrics(new MetricRegistry());
  private final List<Reservation> reservations = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong ticks = new AtomicLong();
  private InstanceList instanceList = InstanceList.EMPTY;
  private final Thread planning = Thread.ofVirtual().unstarted(this::plan);

  @BeforeEach
  void prepare() throws Exception {
    replica.addListener(this::recordReservation);
    replica.start();
    operator.start();
    propose(guarantees(), 0);
    propose(new ControlRecord.LeadershipClaimed(PLANNER, 0), 0);
    list(worker("one", ACCELERATORS), worker("two", ACCELERATORS));
    submit(JOB, WHOLE_WORKER, Urgency.NORMAL);
  }

  @AfterEach
  void close() throws InterruptedException {
    planning.interrupt();
    planning.join(TIMEOUT);
    log.stop();
    replica.close();
    operator.close();
  }

  @Test
  void should_plan_again_in_the_next_round_when_a_guarantee_is_appended_before_a_reservation()
      throws Exception {
    log.runBeforeAppend(RESERVATION, () -> proposeUnchecked(guarantees(WHOLE_WORKER)));
    startPlanning();
    awaitUntil(this::hasAcceptedReservation);

    assertThat(reservations)
        .extracting(Reservation::code)
        .containsExactly(ResultCode.VERSION_CONFLICT, ResultCode.OK);
    assertThat(reservations.getLast().round()).isEqualTo(reservations.getFirst().round() + 1);
  }

  @Test
  void should_keep_an_unstoppable_job_queued_when_a_guarantee_of_all_workers_is_appended_first()
      throws Exception {
    log.runBeforeAppend(
        RESERVATION, () -> proposeUnchecked(guarantees(WHOLE_WORKER, WHOLE_WORKER)));
    startPlanning();
    awaitUntil(() -> !reservations.isEmpty());
    long rejectedInRound = reservations.getFirst().round();
    awaitUntil(() -> metrics.plans.getCount() > rejectedInRound + SEVERAL_ROUNDS);

    assertThat(phase()).isEqualTo(JobPhase.QUEUED);
    assertThat(reservations)
        .extracting(Reservation::code)
        .containsExactly(ResultCode.VERSION_CONFLICT);
  }

  @Test
  void should_not_plan_while_the_outcome_of_its_own_reservation_is_pending() throws Exception {
    list(worker("two", ACCELERATORS / 2));
    propose(guarantees(HALF_WORKER), 0);
    CountDownLatch appendBlocker = new CountDownLatch(1);
    log.runBeforeAppend(RESERVATION, () -> await(appendBlocker));
    startPlanning();
    awaitUntil(() -> metrics.plans.getCount() == 1);
    submit("urgent", HALF_WORKER, Urgency.URGENT);
    awaitUntil(() -> metrics.decisionsRefused.getCount() > 0);
    long ticksBefore = ticks.get();
    awaitUntil(() -> metrics.plans.getCount() > 1 || ticks.get() > ticksBefore + SEVERAL_ROUNDS);
    appendBlocker.countDown();
    awaitUntil(() -> phase() != JobPhase.QUEUED);
    long plansBefore = metrics.plans.getCount();
    awaitUntil(() -> metrics.plans.getCount() > plansBefore + SEVERAL_ROUNDS);

    assertThat(phase("urgent")).isEqualTo(JobPhase.QUEUED);
  }

  @Test
  void should_plan_with_the_currently_listed_workers() throws Exception {
    propose(guarantees(WHOLE_WORKER), 0);
    instanceList = new InstanceList(List.of(worker("one", ACCELERATORS)), List.of());
    startPlanning();
    awaitUntil(() -> metrics.plans.getCount() > SEVERAL_ROUNDS);

    assertThat(phase()).isEqualTo(JobPhase.QUEUED);
  }

  /**
   * Starts the loop once its replica has applied what the operator's replica has. With an older
   * view, the first plan would rest on guarantees that have changed since.
   */
  private void startPlanning() throws InterruptedException {
    assertThat(replica.awaitOffset(operator.appliedOffset(), TIMEOUT)).as("caught up").isTrue();
    planning.start();
  }

  private void plan() {
    Clock clock = Clock.systemUTC();
    MembershipSettings settings = MembershipSettings.DEFAULT;
    LeaderElector keeper =
        new LeaderElector(
            PLANNER,
            new ReplicaLeadershipLog(replica),
            new PeerTable(0, settings.heartbeatTimeout(), clock),
            settings,
            this::tick);
    PlanningLoop loop =
        new PlanningLoop(
            replica,
            keeper,
            new FleetViewFactory(new WorkerHealthHistory()),
            new PlacementPolicy(),
            new CreditPlanner(List::of, clock),
            () -> instanceList,
            clock,
            metrics);
    try {
      loop.run();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Counts rounds: the leadership keeper reads the clock in each one, even in those that do not
   * plan.
   */
  private Instant tick() {
    ticks.incrementAndGet();
    return Instant.now();
  }

  /**
   * Records the outcome of a reservation. The loop waits for the outcome in the round that proposed
   * it, so the plan counter identifies the round.
   */
  private void recordReservation(Envelope envelope, ProposalOutcome outcome) {
    if (envelope.record() instanceof ControlRecord.GangReserved) {
      reservations.add(new Reservation(outcome.code(), metrics.plans.getCount()));
    }
  }

  /**
   * Returns whether a reservation was accepted. Listeners are called after the state has applied
   * the record.
   */
  private boolean hasAcceptedReservation() {
    synchronized (reservations) {
      return reservations.stream().anyMatch(each -> each.code().isSuccess());
    }
  }

  private JobPhase phase() {
    return phase(JOB);
  }

  private JobPhase phase(String job) {
    return replica.read(state -> Objects.requireNonNull(state.job(job)).phase());
  }

  private ReplicatedState replica(String writer) {
    return new ReplicatedState(
        log,
        PeerLog.NONE,
        ReplicaSettings.of(writer, "region"),
        StateSettings.DEFAULT,
        Clock.systemUTC(),
        NanosecondClock.SYSTEM,
        new MetricRegistry());
  }

  private static Worker worker(String name, int accelerators) {
    return new Worker(name, "", "north", "rack", accelerators, 1, 1, 8, false, Map.of());
  }

  private void list(Worker... workers) throws Exception {
    propose(new ControlRecord.WorkersListed(List.of(workers), List.of()), 1);
  }

  private void submit(String id, Shape shape, Urgency urgency) throws Exception {
    propose(
        new ControlRecord.JobSubmitted(
            new JobSpecification(id, "customer", shape, urgency, false, false, 60, Map.of())),
        0);
  }

  /** Returns a configuration change that guarantees the shapes to a customer without jobs. */
  private ControlRecord guarantees(Shape... shapes) {
    FailureDomain north =
        new FailureDomain("north", "region", ServiceState.IN_SERVICE, 0, 0, Map.of());
    List<Customer> customers =
        List.of(
            new Customer("owner", List.of(shapes), 0, Map.of()),
            new Customer("customer", List.of(), 0, Map.of()));
    Configuration next = new Configuration(customers, List.of(north), Map.of(), List.of());
    long base = operator.read(state -> state.configurationVersion());
    return new ControlRecord.ConfigurationChanged(base, next, "operator", "");
  }

  private void proposeUnchecked(ControlRecord record) {
    try {
      propose(record, 0);
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private void propose(ControlRecord record, long term) throws Exception {
    ProposalOutcome outcome =
        operator.propose(record, term).get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    assertThat(outcome.code()).isEqualTo(ResultCode.OK);
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void awaitUntil(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("in time").isLessThan(deadline);
      Thread.sleep(2);
    }
  }

  /** The outcome of a reservation and the number of plans made until then. */
  private record Reservation(ResultCode code, long round) {}
}
