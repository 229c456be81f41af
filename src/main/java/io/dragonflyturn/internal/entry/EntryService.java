package io.dragonflyturn.internal.entry;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.http.ApiHandler;
import io.dragonflyturn.internal.http.ConfigurationRoutes;
import io.dragonflyturn.internal.http.DomainRoutes;
import io.dragonflyturn.internal.http.Health;
import io.dragonflyturn.internal.http.JobRoutes;
import io.dragonflyturn.internal.http.MetricsHandler;
import io.dragonflyturn.internal.http.OperatorRoutes;
import io.dragonflyturn.internal.http.RequestsHandler;
import io.dragonflyturn.internal.http.TokenDirectory;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.request.DrainReport;
import io.dragonflyturn.internal.request.RequestService;
import io.dragonflyturn.internal.request.RequestSettings;
import io.dragonflyturn.internal.request.RequestTimer;
import io.dragonflyturn.internal.request.TargetClient;
import io.dragonflyturn.internal.settings.RequestLimits;
import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.server.Handler;
import org.jboss.logging.Logger;

/** An entry: its view of the targets, its requests, and its HTTP handlers. */
public final class EntryService implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EntryService.class);

  private final EntryIdentity identity;
  private final ControlPlane controlPlane;
  private final TokenDirectory tokens;
  private final RequestTimer timer;
  private final MetricRegistry metrics;
  private final RequestLimits limits;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final RoutingViewFollower routing;
  private final RequestService requests;
  private final EntryBrake brake;
  private final EntryHealth health = new EntryHealth();
  private volatile boolean draining;

  /**
   * Creates an entry; {@link #start} begins its work.
   *
   * @param identity who this entry is
   * @param controlPlane the schedulers
   * @param tokens the known callers
   * @param targets sends attempts to targets
   * @param clients reach other entries
   * @param timer runs later actions
   * @param clock the time of day
   * @param monotonic a clock that never goes back
   * @param metrics takes the counters
   * @param settings the limits of request handling
   * @param limits the bounds on what callers send
   */
  public EntryService(
      EntryIdentity identity,
      ControlPlane controlPlane,
      TokenDirectory tokens,
      TargetClient targets,
      ProtocolClients clients,
      RequestTimer timer,
      Clock clock,
      InstantSource monotonic,
      MetricRegistry metrics,
      RequestSettings settings,
      RequestLimits limits) {
    this.identity = identity;
    this.controlPlane = controlPlane;
    this.tokens = tokens;
    this.timer = timer;
    this.metrics = metrics;
    this.limits = limits;
    EmergencyDomains emergencyDomains = new EmergencyDomains();
    this.routing =
        new RoutingViewFollower(
            controlPlane, this::presence, emergencyDomains, monotonic, this::routingChanged);
    this.requests =
        new RequestService(
            controlPlane,
            routing,
            targets,
            new TcpEntryForwarder(clients),
            identity.incarnation(),
            clock,
            monotonic,
            timer,
            metrics,
            settings);
    this.brake =
        new EntryBrake(
            emergencyDomains,
            routing,
            routing::restrictAgain,
            controlPlane,
            clients,
            threads,
            identity.incarnation());
  }

  /** Starts to follow the routing view. */
  public void start() {
    routing.start();
  }

  /** Returns the handlers of the HTTP interface, in the order in which they are asked. */
  public List<Handler> handlers() {
    RequestsHandler requestsHandler =
        new RequestsHandler(
            requests, tokens, timer, limits.maximumBodyBytes(), limits.bodyTimeout());
    ApiHandler apiHandler =
        new ApiHandler(
            tokens,
            List.of(
                new JobRoutes(controlPlane),
                new ConfigurationRoutes(controlPlane),
                new DomainRoutes(controlPlane, brake),
                new OperatorRoutes(controlPlane)),
            limits.bodyTimeout(),
            timer);
    return List.of(requestsHandler, apiHandler, new MetricsHandler(metrics, this::health));
  }

  /** Returns what answers the messages of other entries. */
  public MessageHandler messages() {
    return new EntryMessageHandler(identity.incarnation(), requests, brake);
  }

  /** Takes no new requests and waits until those in flight are answered and recorded. */
  public void drain(Duration deadline) {
    draining = true;
    DrainReport report = requests.drain(deadline).join();
    if (!report.complete()) {
      LOG.warnf("the drain was cut short: %s", report);
    }
  }

  private Health health() {
    return health.of(routing.get().view(), requests.hasFreshNews(), draining);
  }

  private EntryPresence presence() {
    int settled =
        requests.holdsOnlyItsCredits() ? EntryPresence.hashOf(routing.get().view().credits()) : 0;
    return new EntryPresence(identity.incarnation(), identity.address(), draining, settled);
  }

  private void routingChanged() {
    requests.routingChanged();
  }

  @Override
  public void close() {
    routing.close();
    threads.shutdownNow();
  }

  /**
   * Who an entry is.
   *
   * @param incarnation the unique id of this process start
   * @param address the address of its inner protocol
   */
  public record EntryIdentity(String incarnation, String address) {}
}
