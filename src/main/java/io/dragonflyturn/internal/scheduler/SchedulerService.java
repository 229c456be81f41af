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
import io.dragonflyturn.internal.membership.LeadershipKeeper;
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
 * A scheduler replica: it follows the log, serves the control plane from its state, and plans and
 * drives gangs while it leads.
 */
public final class SchedulerService implements ControlPlane, MessageHandler, AutoCloseable {
  /** How often a change of the log's reachability is looked for. */
  private static final Duration OUTAGE_CHECK = Duration.ofMillis(100);

  private final SchedulerIdentity identity;
  private final ReplicatedState replica;
  private final PlatformLog log;
  private final MembershipSettings membership;
  private final InstantSource monotonic;
  private final EntryRegistry entries;
  private final PeerTable peers;
  private final LeadershipKeeper leadership;
  private final RoutingViewFactory routingViews;
  private final RoutingViewPoll routingViewPoll;
  private final HeartbeatSender heartbeats;
  private final InstanceListPoller instanceList;
  private final PlanningLoop planning;
  private final GangLoop gangs;
  private final ProposalValidator gate;
  private final QueryAnswerer queries;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private volatile boolean draining;

  /**
   * Creates a replica; {@link #start} begins its work.
   *
   * @param identity who this replica is and who its peers are
   * @param replica the replicated state, not started
   * @param log the platform's log, read on behalf of peers that are cut off from it
   * @param workers sends commands to workers
   * @param instances reads the platform's list
   * @param clients reach the peers
   * @param membership the times of heartbeats and leadership
   * @param wallClock the time of day
   * @param monotonic a clock that never goes back
   * @param metrics takes the counters
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
        new LeadershipKeeper(
            identity.incarnation(),
            new ReplicaLeadershipLog(replica),
            peers,
            membership,
            monotonic);
    this.routingViews = new RoutingViewFactory(entries, peers);
    this.routingViewPoll =
        new RoutingViewPoll(replica::appliedOffset, replica::awaitOffset, monotonic);
    this.heartbeats = new HeartbeatSender(identity.peers(), peers, this::status, clients);
    this.instanceList = new InstanceListPoller(instances, leadership);
    WorkerHealthHistory evidence = new WorkerHealthHistory();
    FleetViewFactory fleetViews = new FleetViewFactory(evidence);
    PlacementPolicy policy = new PlacementPolicy();
    this.planning =
        new PlanningLoop(
            replica,
            leadership,
            fleetViews,
            policy,
            new CreditPlanner(routingViews::liveEntries, monotonic),
            instanceList,
            wallClock,
            new SchedulerMetrics(metrics));
    GangDriver driver =
        new GangDriver(
            workers, new GangRecorder(replica), GangTimings.DEFAULT, monotonic, threads, metrics);
    this.gangs = new GangLoop(replica, leadership, driver);
    this.gate = new ProposalValidator(replica);
    this.queries =
        new QueryAnswerer(
            replica,
            leadership,
            gate,
            new Explanations(replica, fleetViews, new PlacementPolicy(), wallClock));
    replica.addListener(evidence);
    replica.addListener(this::watchLeadership);
  }

  /** Starts to follow the log, to send heartbeats, and to plan while leading. */
  public void start() {
    replica.start();
    threads.execute(() -> untilInterrupted(this::heartbeatLoop));
    threads.execute(() -> untilInterrupted(instanceList::run));
    threads.execute(() -> untilInterrupted(planning::run));
    threads.execute(() -> untilInterrupted(gangs::run));
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    if (draining) {
      return CompletableFuture.failedFuture(
          new DragonflyturnException(
              ResultCode.SHUTTING_DOWN, "This scheduler stops; ask another one."));
    }
    try {
      gate.check(record);
    } catch (DragonflyturnException refusal) {
      return CompletableFuture.failedFuture(refusal);
    }
    return replica.propose(record, 0);
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    entries.record(entry);
    return CompletableFuture.supplyAsync(
        () -> routingViewPoll.ask(() -> view(entry), knownVersion, patience(wait)), threads);
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    return CompletableFuture.supplyAsync(() -> queries.answer(query), threads);
  }

  @Override
  public CompletableFuture<Message> handle(Message message) {
    return switch (message) {
      case Message.Heartbeat heartbeat -> {
        peers.record(heartbeat.status());
        yield CompletableFuture.completedFuture(new Message.Acknowledged());
      }
      case Message.ReadLog read -> CompletableFuture.supplyAsync(() -> readLog(read), threads);
      default ->
          CompletableFuture.failedFuture(
              new DragonflyturnException(
                  ResultCode.FRAME_BROKEN,
                  "A scheduler takes no "
                      + message.getClass().getSimpleName()
                      + "; send it to an entry."));
    };
  }

  private Message readLog(Message.ReadLog read) {
    return new Message.LogRead(
        log.read(read.stream(), read.fromOffset(), Duration.ofMillis(read.waitMillis())));
  }

  /** Takes no more proposals of entries and hands leadership over. */
  public void drain() {
    leadership.release();
    draining = true;
  }

  /** Holds answers back for a short time only where entries may soon need to know of an outage. */
  private Duration patience(Duration wait) {
    boolean newsIsLate = replica.logAge().compareTo(membership.freshnessBound().dividedBy(2)) > 0;
    return newsIsLate && wait.compareTo(OUTAGE_CHECK) > 0 ? OUTAGE_CHECK : wait;
  }

  private RoutingView view(EntryPresence entry) {
    long age = replica.logAge().toMillis();
    boolean outage = outageForAll();
    return replica.read(state -> routingViews.view(state, entry.incarnation(), age, outage));
  }

  private boolean outageForAll() {
    return !reachesLog() && peers.nobodyReachesLog();
  }

  private boolean reachesLog() {
    return replica.logAge().compareTo(membership.freshnessBound()) <= 0;
  }

  private PeerStatus status() {
    return new PeerStatus(
        identity.incarnation(),
        identity.address(),
        replica.appliedOffset(),
        reachesLog(),
        entries.live());
  }

  private void heartbeatLoop() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      boolean reached = reachesLog();
      heartbeats.send();
      awaitNextHeartbeat(reached);
    }
  }

  /** Waits for the interval, or until the log is lost or found: peers are told of that at once. */
  private void awaitNextHeartbeat(boolean reached) throws InterruptedException {
    Instant due = monotonic.instant().plus(membership.heartbeatInterval());
    Duration left = membership.heartbeatInterval();
    while (left.isPositive() && reachesLog() == reached) {
      Thread.sleep(left.compareTo(OUTAGE_CHECK) < 0 ? left : OUTAGE_CHECK);
      left = Duration.between(monotonic.instant(), due);
    }
  }

  private void watchLeadership(Envelope envelope, ProposalOutcome outcome) {
    if (!outcome.code().isSuccess()) {
      return;
    }
    switch (envelope.record()) {
      case ControlRecord.LeadershipClaimed claimed -> leadership.leaderSeen();
      case ControlRecord.LeadershipRenewed renewed -> leadership.leaderSeen();
      case ControlRecord.LeadershipReleased released -> leadership.leaderReleased();
      default -> {}
    }
  }

  private static void untilInterrupted(Loop loop) {
    try {
      loop.run();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
    replica.close();
  }

  /** Work that runs until its thread is interrupted. */
  private interface Loop {
    void run() throws InterruptedException;
  }

  /**
   * Who a replica is.
   *
   * @param incarnation the unique id of this process start
   * @param address the address of its inner protocol
   * @param peers the addresses of the other replicas
   */
  public record SchedulerIdentity(String incarnation, String address, List<String> peers) {
    /** Copies the peers. */
    public SchedulerIdentity {
      peers = List.copyOf(peers);
    }
  }
}
