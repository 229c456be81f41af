package io.dragonflyturn.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.GangDriver;
import io.dragonflyturn.internal.gang.GangTimings;
import io.dragonflyturn.internal.gang.PlacedGang;
import io.dragonflyturn.internal.gang.WorkerClient;
import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.internal.log.InMemoryPlatformLog;
import io.dragonflyturn.internal.log.NanosecondClock;
import io.dragonflyturn.internal.log.PeerLog;
import io.dragonflyturn.internal.log.ReplicaSettings;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.LeaderElector;
import io.dragonflyturn.internal.membership.LeadershipLog;
import io.dragonflyturn.internal.membership.MembershipSettings;
import io.dragonflyturn.internal.membership.PeerTable;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.JobPhase;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A replica acts on its leadership just after it has applied the claim of its successor. */
class FormerLeaderTest implements WorkerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String FORMER = "former";
  private static final String SUCCESSOR = "successor";
  private static final String WORKER = "worker";
  private static final int SEVERAL_ROUNDS = 10;
  private static final List<MemberPlacement> PLACEMENTS =
      List.of(new MemberPlacement(0, WORKER, List.of(0)));
  private static final PlacedGang STOPPING =
      new PlacedGang(job("placed"), 1, PLACEMENTS, PlacedGang.Phase.STOPPING, 0);

  private final InMemoryPlatformLog log = new InMemoryPlatformLog();
  private final ReplicatedState replica = replica();
  private final List<WorkerExchange> exchanges = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger rounds = new AtomicInteger();
  private final LeaderElector leadership =
      new LeaderElector(
          FORMER,
          new OutdatedLeadership(),
          new PeerTable(0, Duration.ofSeconds(1), Clock.systemUTC()),
          MembershipSettings.DEFAULT,
          this::countRound);
  private final GangDriver driver =
      new GangDriver(
          this,
          new GangRecorder(replica),
          GangTimings.DEFAULT,
          Clock.systemUTC(),
          task -> Thread.ofVirtual().start(task),
          new MetricRegistry());

  @BeforeEach
  void handOver() throws Exception {
    replica.start();
    propose(configuration(), 0);
    propose(new ControlRecord.LeadershipClaimed(FORMER, 0), 0);
    propose(new ControlRecord.WorkersListed(List.of(worker()), List.of()), 1);
    propose(new ControlRecord.JobSubmitted(job("placed")), 0);
    propose(reservation(), 1);
    driver.tick(1, List.of(), Map.of(), jobId -> true);
    propose(new ControlRecord.LeadershipClaimed(SUCCESSOR, 1), 0);
  }

  @AfterEach
  void close() {
    log.stop(true);
    replica.close();
  }

  // Regression: what a former leader believed of a gang was recorded as its successor's.
  @Test
  void should_not_release_the_gang_of_a_successor_when_a_former_leader_counts_it_as_ended()
      throws Exception {
    driver.tick(1, List.of(STOPPING), Map.of(), jobId -> true);
    propose(new ControlRecord.JobSubmitted(job("later")), 0);

    assertThat(phase("placed")).isEqualTo(JobPhase.RESERVED);
  }

  // Regression: a worker ignored a leader because a former one had numbered orders in its term.
  @Test
  void should_send_nothing_to_workers_in_the_term_of_a_successor() {
    new GangLoop(replica, leadership, driver).tick();

    assertThat(exchanges).extracting(WorkerExchange::fence).doesNotContain(2L);
  }

  // Regression: a former leader placed jobs in the term of its successor.
  @Test
  void should_place_nothing_in_the_term_of_a_successor() throws Exception {
    propose(new ControlRecord.JobSubmitted(job("waiting")), 0);
    Thread planning = start(() -> planningLoop().run());
    rounds.set(0);
    while (rounds.get() < SEVERAL_ROUNDS && phase("waiting") == JobPhase.QUEUED) {
      Thread.sleep(2);
    }
    stop(planning);

    assertThat(phase("waiting")).isEqualTo(JobPhase.QUEUED);
  }

  @Override
  public CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange) {
    exchanges.add(exchange);
    return new CompletableFuture<>();
  }

  private PlanningLoop planningLoop() {
    return new PlanningLoop(
        replica,
        leadership,
        new FleetViewFactory(new WorkerHealthHistory()),
        new PlacementPolicy(),
        new CreditPlanner(List::of, Clock.systemUTC()),
        () -> InstanceList.EMPTY,
        Clock.systemUTC(),
        new SchedulerMetrics(new MetricRegistry()));
  }

  private Instant countRound() {
    rounds.incrementAndGet();
    return Instant.now();
  }

  private JobPhase phase(String job) {
    return replica.read(state -> Objects.requireNonNull(state.job(job)).phase());
  }

  private void propose(ControlRecord record, long term) throws Exception {
    ProposalOutcome outcome =
        replica.propose(record, term).get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    assertThat(outcome.code()).isEqualTo(ResultCode.OK);
  }

  private ReplicatedState replica() {
    return new ReplicatedState(
        log,
        PeerLog.NONE,
        ReplicaSettings.of(FORMER, "region"),
        StateSettings.DEFAULT,
        Clock.systemUTC(),
        NanosecondClock.SYSTEM,
        new MetricRegistry());
  }

  private static ControlRecord reservation() {
    return new ControlRecord.GangReserved(
        "placed", 1, PLACEMENTS, "", ControlRecord.GangReserved.UNKNOWN_VERSION);
  }

  private static ControlRecord configuration() {
    FailureDomain north =
        new FailureDomain("north", "region", ServiceState.IN_SERVICE, 0, 0, Map.of());
    Customer customer = new Customer("customer", List.of(), 0, Map.of());
    Configuration first = new Configuration(List.of(customer), List.of(north), Map.of(), List.of());
    return new ControlRecord.ConfigurationChanged(0, first, "operator", "");
  }

  private static JobSpecification job(String id) {
    return new JobSpecification(
        id, "customer", new Shape(1, 1, Span.WORKER), Urgency.NORMAL, true, false, 60, Map.of());
  }

  private static Worker worker() {
    return new Worker(WORKER, WORKER, "north", "rack", 8, 1, 1, 8, false, Map.of());
  }

  private static Thread start(Loop loop) {
    return Thread.ofVirtual()
        .start(
            () -> {
              try {
                loop.run();
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private static void stop(Thread thread) throws InterruptedException {
    thread.interrupt();
    thread.join(TIMEOUT);
  }

  private interface Loop {
    void run() throws InterruptedException;
  }

  /** The leadership as the former leader read it before the claim of its successor. */
  private static final class OutdatedLeadership implements LeadershipLog {
    @Override
    public long term() {
      return 1;
    }

    @Override
    public String leader() {
      return FORMER;
    }

    @Override
    public Duration logAge() {
      return Duration.ZERO;
    }

    @Override
    public void claim(String candidate, long expectedTerm) {}

    @Override
    public void renew(String leader, long term) {}

    @Override
    public void release(String leader, long term) {}
  }
}
