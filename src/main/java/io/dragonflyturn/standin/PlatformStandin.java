package io.dragonflyturn.standin;

import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Fields;

/**
 * In-process simulation of the platform for tests and the demo. Serves in-memory log streams and a
 * delayed instance list over HTTP, and injects faults on request.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final long MAXIMUM_RATE_WAIT_MILLIS = 1_000;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int NOT_FOUND = 404;

  private final PlatformSettings settings;
  private final InstantSource clock;
  private final StandinServer server = new StandinServer();
  private final ServerConnector connector;
  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
  private final PlatformFaultState faults = new PlatformFaultState();
  private final InstanceRegistry instances;
  private final AppendRateLimiter rate;

  /** Creates a stand-in; {@link #start} must be called before it accepts connections. */
  public PlatformStandin(PlatformSettings settings, InstantSource clock) {
    this.settings = settings;
    this.clock = clock;
    instances = new InstanceRegistry(settings.listLagMillis(), settings.registrationMillis());
    rate = new AppendRateLimiter(settings.appendsPerSecond(), clock.millis());
    connector = server.add(settings.port(), this::serve);
  }

  /** Starts listening on the loopback address. */
  public void start() {
    server.start();
  }

  /** Returns the port on which the stand-in listens. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns the address of the HTTP interface as {@code IP:PORT}. */
  public String address() {
    return "127.0.0.1:" + port();
  }

  /** Changes the injected faults. */
  public void change(PlatformFaults change) {
    faults.change(change);
    if (change.expireBelow() != null) {
      change.expireBelow().forEach((name, offset) -> stream(name).expireBelow(offset));
    }
    if (change.listFrozen() != null) {
      instances.freeze(change.listFrozen());
    }
  }

  /** Adds or removes an instance of the list, or renews its registration. */
  public void register(Registration registration) {
    instances.register(registration, clock.millis());
  }

  @Override
  public void close() {
    server.close();
  }

  private StandinAnswer serve(String method, String path, Request request, byte[] body)
      throws InterruptedException {
    String[] steps = path.substring(1).split("/", -1);
    return switch (method + " " + steps[0] + " " + steps.length) {
      case "POST log 3" -> append(steps[1], body);
      case "GET log 2" -> read(steps[1], Request.extractQueryParameters(request));
      case "GET instances 1" -> StandinAnswer.json(instances.list(clock.millis()));
      case "POST instances 2" -> {
        register(JsonCodec.read(body, Registration.class));
        yield StandinAnswer.json(Map.of());
      }
      case "POST faults 1" -> {
        change(JsonCodec.read(body, PlatformFaults.class));
        yield StandinAnswer.json(Map.of());
      }
      default -> StandinAnswer.error(NOT_FOUND, "Unknown endpoint: " + method + " " + path);
    };
  }

  private StandinAnswer append(String stream, byte[] content) throws InterruptedException {
    PlatformFaultState.CallOutcome outcome = faults.decideAppend();
    return switch (outcome) {
      case REFUSED -> StandinAnswer.error(UNAVAILABLE, "The log is unavailable.");
      case DROPPED -> StandinAnswer.LOST;
      case ANSWER_LOST -> {
        stream(stream).append(content, clock.millis());
        yield StandinAnswer.LOST;
      }
      case SERVED -> appendAtRate(stream, content);
    };
  }

  private StandinAnswer appendAtRate(String stream, byte[] content) throws InterruptedException {
    long waitMillis = rate.acquire(clock.millis());
    if (waitMillis > MAXIMUM_RATE_WAIT_MILLIS) {
      return StandinAnswer.error(TOO_MANY_REQUESTS, "Append rate exceeded; nothing was appended.");
    }
    Thread.sleep(waitMillis);
    return StandinAnswer.json(new Appended(stream(stream).append(content, clock.millis())));
  }

  private StandinAnswer read(String stream, Fields parameters) throws InterruptedException {
    return switch (faults.decideRead()) {
      case REFUSED -> StandinAnswer.error(UNAVAILABLE, "The log is unavailable.");
      case DROPPED, ANSWER_LOST -> StandinAnswer.LOST;
      case SERVED ->
          StandinAnswer.bytes(
              MessagePackCodec.encode(
                  stream(stream)
                      .read(
                          number(parameters, "from"),
                          number(parameters, "waitMillis"),
                          clock.millis())));
    };
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(
        name, key -> new LogStream(settings.maximumBatches(), settings.retentionMillis()));
  }

  private static long number(Fields parameters, String name) {
    String value = parameters.getValue(name);
    return value == null ? 0 : Long.parseLong(value);
  }

  /** Response to an append, with the offset of the appended batch. */
  record Appended(long offset) {}
}
