package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.dragonflyturn.internal.MonotonicClock;
import io.dragonflyturn.internal.http.HttpPlatformLog;
import io.dragonflyturn.internal.http.JettyWorkerClient;
import io.dragonflyturn.internal.http.PlatformInstances;
import io.dragonflyturn.internal.log.NanosecondClock;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.log.ReplicaSettings;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.membership.MembershipSettings;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.scheduler.ProtocolPeerLog;
import io.dragonflyturn.internal.scheduler.SchedulerService;
import io.dragonflyturn.internal.settings.SchedulerSettings;
import io.dragonflyturn.internal.settings.SocketAddresses;
import io.dragonflyturn.internal.state.StateSettings;
import jakarta.inject.Singleton;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;

/** Dagger module that provides the scheduler replica and its dependencies. */
@Module
final class SchedulerModule {
  /** Timeout of one exchange with a worker. */
  private static final Duration WORKER_TIMEOUT = Duration.ofSeconds(1);

  /** Number of times that the leader renews its leadership within one lease. */
  private static final int RENEWALS_PER_LEASE = 3;

  /** Number of missed heartbeats after which a peer is considered lost. */
  private static final int MISSED_HEARTBEATS_BEFORE_LOSS = 3;

  private SchedulerModule() {}

  @Provides
  @Singleton
  static MembershipSettings membership(SchedulerSettings settings) {
    Duration lease = settings.leadershipLease();
    return new MembershipSettings(
        settings.heartbeatInterval(),
        settings.heartbeatInterval().multipliedBy(MISSED_HEARTBEATS_BEFORE_LOSS).plusMillis(500),
        lease.dividedBy(RENEWALS_PER_LEASE),
        lease,
        MembershipSettings.DEFAULT.claimStagger(),
        settings.freshnessBound());
  }

  @Provides
  @Singleton
  static PlatformLog log(SchedulerSettings settings, HttpClient client) {
    return new HttpPlatformLog(client, platformAddress(settings));
  }

  @Provides
  @Singleton
  static SchedulerService.SchedulerIdentity identity(
      SchedulerSettings settings, Incarnation incarnation, InternalServer server) {
    List<String> peers =
        settings.peers().stream()
            .map(SocketAddresses::text)
            .filter(peer -> !peer.equals(server.address()))
            .toList();
    return new SchedulerService.SchedulerIdentity(incarnation.id(), server.address(), peers);
  }

  @Provides
  @Singleton
  static ReplicatedState replica(
      SchedulerSettings settings,
      SchedulerService.SchedulerIdentity identity,
      PlatformLog log,
      ProtocolClients clients,
      Clock clock,
      MetricRegistry metrics) {
    StateSettings defaults = StateSettings.DEFAULT;
    return new ReplicatedState(
        log,
        new ProtocolPeerLog(identity.peers(), clients),
        ReplicaSettings.of(identity.incarnation(), settings.identity().region()),
        new StateSettings(
            settings.requestKeyRetention(),
            defaults.endedJobRetention(),
            defaults.requestFutureTolerance(),
            defaults.auditEntries(),
            defaults.writerWindow()),
        clock,
        NanosecondClock.SYSTEM,
        metrics);
  }

  @Provides
  @Singleton
  static SchedulerService service(
      SchedulerSettings settings,
      SchedulerService.SchedulerIdentity identity,
      ReplicatedState replica,
      PlatformLog log,
      HttpClient client,
      ProtocolClients clients,
      MembershipSettings membership,
      Clock clock,
      MonotonicClock monotonic,
      MetricRegistry metrics) {
    return new SchedulerService(
        identity,
        replica,
        log,
        new JettyWorkerClient(client, WORKER_TIMEOUT),
        new PlatformInstances(client, platformAddress(settings)),
        clients,
        membership,
        clock,
        monotonic,
        metrics);
  }

  private static String platformAddress(SchedulerSettings settings) {
    return settings.platform().getAuthority();
  }
}
