package io.dragonflyturn.daemon;

import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.entry.EntryService;
import io.dragonflyturn.internal.http.ApiServer;
import io.dragonflyturn.internal.protocol.ControlPlaneHandler;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessageHandler;
import io.dragonflyturn.internal.scheduler.SchedulerService;
import io.dragonflyturn.internal.settings.InstanceSettings;
import jakarta.inject.Inject;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Runs an entry and a scheduler replica in the same process. */
public final class InstanceDaemon implements Daemon {
  private final EntryService entry;
  private final SchedulerService scheduler;
  private final InternalServer internalServer;
  private final ApiServer http;
  private final Duration drainDeadline;
  private final Closer closer;

  @Inject
  InstanceDaemon(
      InstanceSettings settings,
      EntryService entry,
      SchedulerService scheduler,
      InternalServer internalServer,
      Closer closer) {
    this.entry = entry;
    this.scheduler = scheduler;
    this.internalServer = internalServer;
    this.drainDeadline = settings.entry().drainDeadline();
    this.closer = closer;
    this.http = new ApiServer(settings.entry().httpAddress(), entry.handlers());
  }

  @Override
  public String start() {
    closer.register(scheduler);
    closer.register(entry);
    closer.register(http);
    MessageHandler entryMessages = entry.messageHandler();
    internalServer.serve(
        new ControlPlaneHandler(scheduler, message -> dispatch(entryMessages, message)));
    scheduler.start();
    entry.start();
    http.start();
    return "ready instance " + http.address() + " inner " + internalServer.address();
  }

  private CompletableFuture<Message> dispatch(MessageHandler entryMessages, Message message) {
    return switch (message) {
      case Message.Forward forward -> entryMessages.handle(forward);
      case Message.EmergencyTakeOut takeOut -> entryMessages.handle(takeOut);
      default -> scheduler.handle(message);
    };
  }

  @Override
  public void close() {
    entry.drain(drainDeadline);
    scheduler.drain();
    closer.close();
  }
}
