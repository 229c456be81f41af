package io.dragonflyturn.daemon;

import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.entry.EntryService;
import io.dragonflyturn.internal.http.ApiServer;
import io.dragonflyturn.internal.settings.EntrySettings;
import jakarta.inject.Inject;
import java.time.Duration;

/** Runs an entry in its own process. */
public final class EntryDaemon implements Daemon {
  private final EntryService service;
  private final InternalServer internalServer;
  private final ApiServer http;
  private final Duration drainDeadline;
  private final Closer closer;

  @Inject
  EntryDaemon(
      EntrySettings settings, EntryService service, InternalServer internalServer, Closer closer) {
    this.service = service;
    this.internalServer = internalServer;
    this.drainDeadline = settings.drainDeadline();
    this.closer = closer;
    this.http = new ApiServer(settings.httpAddress(), service.handlers());
  }

  @Override
  public String start() {
    closer.register(service);
    closer.register(http);
    internalServer.serve(service.messageHandler());
    service.start();
    http.start();
    return "ready entry " + http.address() + " inner " + internalServer.address();
  }

  @Override
  public void close() {
    service.drain(drainDeadline);
    closer.close();
  }
}
