package io.dragonflyturn.internal.scheduler;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.GangDriver;
import io.dragonflyturn.internal.gang.GangTimings;
import io.dragonflyturn.internal.gang.WorkerClient;
import io.dragonflyturn.internal.http.PlatformInstances;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.EntryRegistry;
import io.dragonflyturn.internal.membership.HeartbeatSender;
import io.dragonflyturn.internal.membership.LeaderElector;
import io.dragonflyturn.internal.membership.MembershipSettings;
import io.dragonflyturn.internal.membership.PeerTable;
import io.dragonflyturn.internal.placement.PlacementPolicy;
import io.dragonflyturn.internal.protocol.ControlAnswer;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.PeerStatus;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.Envelope;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A scheduler replica. It replicates the control state from the log and serves the control plane
 * from that state. While it is the leader, it also plans placements and drives gangs.
 */
public final class SchedulerService implements ControlPlane, MessageHandler, AutoCloseable {
  /** Interval between checks of whether the log is reachable. */
  private static final Duration OUTAGE_CHECK_INTERVAL = Duration.ofMillis(100);

  private final SchedulerIdentity identity;
  private final ReplicatedState replica;
  private final PlatformLog log;
  private final MembershipSettings membership;
  private final InstantSource monotonic;
  private final EntryRegistry entries;
  private final PeerTable peers;
  private final LeaderElector leadership;
  private final RoutingViewFactory routingViewFactory;
  private final RoutingViewPoll routingViewPoll;
  private final HeartbeatSender heartbeatSender;
  private final InstanceListPoller instanceListPoller;
  private final PlanningLoop planningLoop;
  private final GangLoop gangLoop;
  private final ProposalValidator proposalValidator;
  private final QueryAnswerer queryAnswerer;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private volatile boolean draining;

  /**
   * Creates a replica that is idle until {@link #start} is called.
   *
   * @param identity the identity of this replica and the addresses of its peers
   * @param replica the replicated state, which must not be started yet
   * @param log the platform's log, read on behalf of peers that cannot reach it
   * @param workers the client that sends commands to workers
   * @param instances the reader of the platform's instance list
   * @param clients the protocol clients of the peers
   * @param membership the heartbeat and leadership timings
   * @param wallClock the wall clock, for timestamps
   * @param monotonic a monotonic clock, for timeouts
   * @param metrics the registry for the scheduler's metrics
   */
  public SchedulerService(
      SchedulerIdentity identity,
      ReplicatedState replica,
      PlatformLog log,
      WorkerClient workers,
      PlatformInstances instances,
      ProtocolClients clients,
      MembershipSettings membership,
      InstantSource wallClock,
      InstantSource monotonic,
      MetricRegistry metrics) {
    this.identity = identity;
    this.replica = replica;
    this.log = log;
    this.membership = membership;
    this.monotonic = monotonic;
    this.entries = new EntryRegistry(membership.heartbeatTimeout(), monotonic);
    this.peers = new PeerTable(identity.peers().size(), membership.heartbeatTimeout(), monotonic);
    this.leadership =
        new LeaderElector(
            identity.incarnation(),
            new ReplicaLeadershipLog(replica),
            peers,
            membership,
            monotonic);
    this.routingViewFactory = new RoutingViewFactory(entries, peers);
    this.routingViewPoll =
        new RoutingViewPoll(replica::appliedOffset, replica::awaitOffset, monotonic);
    this.heartbeatSender = new HeartbeatSender(identity.peers(), peers, this::status, clients);
    this.instanceListPoller = new InstanceListPoller(instances, leadership);
    WorkerHealthHistory workerHealth = new WorkerHealthHistory();
    FleetViewFactory fleetViewFactory = new FleetViewFactory(workerHealth);
    PlacementPolicy policy = new PlacementPolicy();
    this.planningLoop =
        new PlanningLoop(
            replica,
            leadership,
            fleetViewFactory,
            policy,
            new CreditPlanner(routingViewFactory::liveEntries, monotonic),
            instanceListPoller,
            wallClock,
            new SchedulerMetrics(metrics));
    GangDriver driver =
        new GangDriver(
            workers, new GangRecorder(replica), GangTimings.DEFAULT, monotonic, executor, metrics);
    this.gangLoop = new GangLoop(replica, leadership, driver);
    this.proposalValidator = new ProposalValidator(replica);
    this.queryAnswerer =
        new QueryAnswerer(
            replica,
            leadership,
            proposalValidator,
            new Explanations(replica, fleetViewFactory, new PlacementPolicy(), wallClock));
    replica.addListener(workerHealth);
    replica.addListener(this::notifyLeadershipKeeper);
  }

  /** Starts log replication, heartbeats, and the planning and gang loops. */
  public void start() {
    replica.start();
    executor.execute(() -> runUntilInterrupted(this::heartbeatLoop));
    executor.execute(() -> runUntilInterrupted(instanceListPoller::run));
    executor.execute(() -> runUntilInterrupted(planningLoop::run));
    executor.execute(() -> runUntilInterrupted(gangLoop::run));
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    if (draining) {
      return CompletableFuture.failedFuture(
          new DragonflyturnException(
              ResultCode.SHUTTING_DOWN,
              "This scheduler is shutting down; retry with another one."));
    }
    try {
      proposalValidator.check(record);
    } catch (DragonflyturnException rejection) {
      return CompletableFuture.failedFuture(rejection);
    }
    return replica.propose(record, 0);
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    entries.record(entry);
    return CompletableFuture.supplyAsync(
        () -> routingViewPoll.poll(() -> view(entry), knownVersion, effectiveWait(wait)), executor);
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    return CompletableFuture.supplyAsync(() -> queryAnswerer.answer(query), executor);
  }

  @Override
  public CompletableFuture<Message> handle(Message message) {
    return switch (message) {
      case Message.Heartbeat heartbeat -> {
        peers.record(heartbeat.status());
        yield CompletableFuture.completedFuture(new Message.Acknowledged());
      }
      case Message.ReadLog read -> CompletableFuture.supplyAsync(() -> readLog(read), executor);
      default ->
          CompletableFuture.failedFuture(
              new DragonflyturnException(
                  ResultCode.FRAME_BROKEN,
                  "A scheduler does not handle "
                      + message.getClass().getSimpleName()
                      + "; send it to an entry."));
    };
  }

  private Message readLog(Message.ReadLog read) {
    return new Message.LogRead(
        log.read(read.stream(), read.fromOffset(), Duration.ofMillis(read.waitMillis())));
  }

  /** Releases leadership and rejects further proposals from entries. */
  public void drain() {
    leadership.release();
    draining = true;
  }

  /**
   * Returns how long a routing view request may wait. The wait is short while the log lags, so that
   * entries learn of an outage in time.
   */
  private Duration effectiveWait(Duration wait) {
    boolean logLags = replica.logAge().compareTo(membership.freshnessBound().dividedBy(2)) > 0;
    return logLags && wait.compareTo(OUTAGE_CHECK_INTERVAL) > 0 ? OUTAGE_CHECK_INTERVAL : wait;
  }

  private RoutingView view(EntryPresence entry) {
    long age = replica.logAge().toMillis();
    boolean outage = outageForAll();
    return replica.read(state -> routingViewFactory.view(state, entry.incarnation(), age, outage));
  }

  private boolean outageForAll() {
    return !isLogReachable() && peers.isLogOutageForAll();
  }

  private boolean isLogReachable() {
    return replica.logAge().compareTo(membership.freshnessBound()) <= 0;
  }

  private PeerStatus status() {
    return new PeerStatus(
        identity.incarnation(),
        identity.address(),
        replica.appliedOffset(),
        isLogReachable(),
        entries.live());
  }

  private void heartbeatLoop() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      boolean wasReachable = isLogReachable();
      heartbeatSender.send();
      awaitNextHeartbeat(wasReachable);
    }
  }

  /**
   * Waits for the heartbeat interval, or until the log becomes reachable or unreachable, so that
   * peers learn of the change at once.
   */
  private void awaitNextHeartbeat(boolean wasReachable) throws InterruptedException {
    Instant due = monotonic.instant().plus(membership.heartbeatInterval());
    Duration remaining = membership.heartbeatInterval();
    while (remaining.isPositive() && isLogReachable() == wasReachable) {
      Thread.sleep(
          remaining.compareTo(OUTAGE_CHECK_INTERVAL) < 0 ? remaining : OUTAGE_CHECK_INTERVAL);
      remaining = Duration.between(monotonic.instant(), due);
    }
  }

  private void notifyLeadershipKeeper(Envelope envelope, ProposalOutcome outcome) {
    if (!outcome.code().isSuccess()) {
      return;
    }
    switch (envelope.record()) {
      case ControlRecord.LeadershipClaimed claimed -> leadership.recordRenewal();
      case ControlRecord.LeadershipRenewed renewed -> leadership.recordRenewal();
      case ControlRecord.LeadershipReleased released -> leadership.recordRelease();
      default -> {}
    }
  }

  private static void runUntilInterrupted(InterruptibleTask task) {
    try {
      task.run();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
    replica.close();
  }

  /** A task that runs until its thread is interrupted. */
  private interface InterruptibleTask {
    void run() throws InterruptedException;
  }

  /**
   * The identity of a replica and the addresses of its peers.
   *
   * @param incarnation the unique ID of this process incarnation
   * @param address the address of its protocol server
   * @param peers the addresses of the other replicas
   */
  public record SchedulerIdentity(String incarnation, String address, List<String> peers) {
    /** Creates an identity with an immutable copy of the peers. */
    public SchedulerIdentity {
      peers = List.copyOf(peers);
    }
  }
}
