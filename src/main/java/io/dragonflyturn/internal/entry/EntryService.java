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

/**
 * An entry, the process role that accepts requests from callers: polls the routing view, sends
 * requests to targets, and serves the HTTP API.
 */
public final class EntryService implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EntryService.class);

  private final EntryIdentity identity;
  private final ControlPlane controlPlane;
  private final TokenDirectory tokens;
  private final RequestTimer timer;
  private final MetricRegistry metrics;
  private final RequestLimits limits;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final RoutingViewPoller routing;
  private final RequestService requests;
  private final EntryEmergencyTakeOutService emergencyTakeOuts;
  private final EntryHealth health = new EntryHealth();
  private volatile boolean draining;

  /**
   * Creates an entry. Call {@link #start} to start it.
   *
   * @param identity the incarnation and address of this entry
   * @param controlPlane the client of the schedulers
   * @param tokens the tokens of the known callers
   * @param targetClient sends attempts to targets
   * @param clients connects to other entries
   * @param timer schedules actions
   * @param clock the wall clock
   * @param monotonic a time source that never goes backwards
   * @param metrics the registry for metrics
   * @param settings the limits on request handling
   * @param limits the limits on the size and duration of request bodies
   */
  public EntryService(
      EntryIdentity identity,
      ControlPlane controlPlane,
      TokenDirectory tokens,
      TargetClient targetClient,
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
    EmergencyDomainFilter emergencyDomainFilter = new EmergencyDomainFilter();
    this.routing =
        new RoutingViewPoller(
            controlPlane, this::presence, emergencyDomainFilter, monotonic, this::routingChanged);
    this.requests =
        new RequestService(
            controlPlane,
            routing,
            targetClient,
            new TcpEntryForwarder(clients),
            identity.incarnation(),
            clock,
            monotonic,
            timer,
            metrics,
            settings);
    this.emergencyTakeOuts =
        new EntryEmergencyTakeOutService(
            emergencyDomainFilter,
            routing,
            routing::reapplyFilter,
            controlPlane,
            clients,
            executor,
            identity.incarnation());
  }

  /** Starts to poll the routing view. */
  public void start() {
    routing.start();
  }

  /** Returns the handlers of the HTTP API, in the order in which they are tried. */
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
                new DomainRoutes(controlPlane, emergencyTakeOuts),
                new OperatorRoutes(controlPlane)),
            limits.bodyTimeout(),
            timer);
    return List.of(requestsHandler, apiHandler, new MetricsHandler(metrics, this::health));
  }

  /** Returns the handler for messages of other entries. */
  public MessageHandler messageHandler() {
    return new EntryMessageHandler(identity.incarnation(), requests, emergencyTakeOuts);
  }

  /**
   * Refuses new requests and waits until those in progress are answered and their outcomes
   * recorded, or until the deadline.
   */
  public void drain(Duration deadline) {
    draining = true;
    DrainReport report = requests.drain(deadline).join();
    if (!report.isComplete()) {
      LOG.warnf(
          "drain ended before all requests finished and their outcomes were recorded: %s", report);
    }
  }

  private Health health() {
    return health.update(routing.get().view(), requests.hasFreshControlState(), draining);
  }

  private EntryPresence presence() {
    int settledCredits =
        requests.isWithinCredits() ? EntryPresence.hashOf(routing.get().view().credits()) : 0;
    return new EntryPresence(identity.incarnation(), identity.address(), draining, settledCredits);
  }

  private void routingChanged() {
    requests.routingChanged();
  }

  @Override
  public void close() {
    routing.close();
    executor.shutdownNow();
  }

  /**
   * Identifies an entry.
   *
   * @param incarnation the unique identifier of this process start
   * @param address the address of its internal protocol
   */
  public record EntryIdentity(String incarnation, String address) {}
}
