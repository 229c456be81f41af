package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.http.ApiServer;
import io.dragonflyturn.internal.http.Health;
import io.dragonflyturn.internal.http.MetricsHandler;
import io.dragonflyturn.internal.protocol.ControlPlaneHandler;
import io.dragonflyturn.internal.scheduler.SchedulerService;
import io.dragonflyturn.internal.settings.SchedulerSettings;
import jakarta.inject.Inject;
import java.util.List;

/** Runs a scheduler replica in its own process. */
public final class SchedulerDaemon implements Daemon {
  private final SchedulerService service;
  private final InternalServer internalServer;
  private final ApiServer http;
  private final Closer closer;

  @Inject
  SchedulerDaemon(
      SchedulerSettings settings,
      SchedulerService service,
      InternalServer internalServer,
      MetricRegistry metrics,
      Closer closer) {
    this.service = service;
    this.internalServer = internalServer;
    this.closer = closer;
    this.http =
        new ApiServer(
            settings.httpAddress(), List.of(new MetricsHandler(metrics, () -> Health.OK)));
  }

  @Override
  public String start() {
    closer.register(http);
    closer.register(service);
    http.start();
    internalServer.serve(new ControlPlaneHandler(service, service));
    service.start();
    return "ready scheduler " + internalServer.address() + " http " + http.address();
  }

  @Override
  public void close() {
    service.drain();
    closer.close();
  }
}
