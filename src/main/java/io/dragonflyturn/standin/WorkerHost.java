package io.dragonflyturn.standin;

import io.dragonflyturn.internal.http.JsonCodec;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/** Hosts worker stand-ins in one process, each on its own port, and registers them regularly. */
public final class WorkerHost implements AutoCloseable {
  private static final long REGISTRATION_INTERVAL_MILLIS = 500;
  private static final long REGISTRATION_TIMEOUT_MILLIS = 2_000;

  private final StandinServer server = new StandinServer();
  private final HttpClient client = new HttpClient();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<WorkerSettings> settings;
  private final List<WorkerStandin> workers;

  /** Creates a host; {@link #start} must be called before its workers accept connections. */
  public WorkerHost(List<WorkerSettings> settings, InstantSource clock) {
    this.settings = List.copyOf(settings);
    this.workers = settings.stream().map(each -> new WorkerStandin(each, clock, server)).toList();
  }

  /** Starts listening and begins to register the workers with the platform. */
  public void start() {
    server.start();
    try {
      client.start();
    } catch (Exception failure) {
      throw new IllegalStateException("Failed to start the HTTP client for the platform", failure);
    }
    timer.scheduleWithFixedDelay(
        this::register, 0, REGISTRATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the workers, in the order of their settings. */
  public List<WorkerStandin> workers() {
    return workers;
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
    try {
      client.stop();
    } catch (Exception failure) {
      throw new IllegalStateException("Failed to stop the HTTP client for the platform", failure);
    }
  }

  private void register() {
    for (int index = 0; index < workers.size(); index++) {
      String platform = settings.get(index).platform();
      workers.get(index).advance();
      if (platform != null) {
        register(platform, workers.get(index));
      }
    }
  }

  private void register(String platform, WorkerStandin worker) {
    byte[] body = JsonCodec.write(Registration.of(worker.listed()));
    client
        .newRequest("http://" + platform + "/instances/register")
        .method(HttpMethod.POST)
        .timeout(REGISTRATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .body(new BytesRequestContent("application/json", body))
        .send(result -> {});
  }
}
