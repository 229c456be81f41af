package io.dragonflyturn.standin;

import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.model.Worker;
import java.time.InstantSource;
import java.util.Map;
import java.util.UUID;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Simulation of one worker for tests and the demo. Runs leased tasks and requests without real
 * work, and injects faults on request.
 */
public final class WorkerStandin {
  private static final int NOT_FOUND = 404;

  private final WorkerSettings settings;
  private final InstantSource clock;
  private final WorkerFaultState faults;
  private final TaskTable tasks;
  private final RequestExecutor requests;
  private final ServerConnector connector;

  /** Creates a worker that accepts connections after the server has started. */
  WorkerStandin(WorkerSettings settings, InstantSource clock, StandinServer server) {
    this.settings = settings;
    this.clock = clock;
    faults = new WorkerFaultState(settings.serviceMillis());
    String incarnation = settings.name() + "." + UUID.randomUUID();
    tasks =
        new TaskTable(settings.name(), incarnation, settings.checkpointMillis(), faults::failTasks);
    requests = new RequestExecutor(settings.requestSlots(), faults, clock);
    connector = server.add(settings.port(), this::serve);
  }

  /** Returns the entry of the worker in the instance list of the platform. */
  public Worker listed() {
    String address = "127.0.0.1:" + connector.getLocalPort();
    return settings.listedAt(address, faults.leaving());
  }

  /** Changes the injected faults. */
  public void change(WorkerFaults change) {
    faults.change(change);
  }

  /** Returns the requests and tasks since the start. */
  public WorkerHistory history() {
    advance();
    return new WorkerHistory(
        settings.name(), settings.failureDomain(), requests.history(), tasks.history());
  }

  /** Advances all tasks to the current time. */
  void advance() {
    tasks.advance(clock.millis());
  }

  private StandinAnswer serve(String method, String path, Request request, byte[] body)
      throws InterruptedException {
    return switch (method + " " + path) {
      case "POST /control" -> control(JsonCodec.read(body, WorkerExchange.class));
      case "POST /requests" -> requests.serve(JsonCodec.read(body, RequestCall.class));
      case "GET /history" -> StandinAnswer.json(history());
      case "POST /faults" -> {
        change(JsonCodec.read(body, WorkerFaults.class));
        yield StandinAnswer.json(Map.of());
      }
      default -> StandinAnswer.error(NOT_FOUND, "Unknown endpoint: " + method + " " + path);
    };
  }

  private StandinAnswer control(WorkerExchange exchange) throws InterruptedException {
    WorkerReport report = tasks.exchange(exchange, clock.millis());
    Thread.sleep(faults.delayMillis());
    return faults.consumeLostControlAnswer() ? StandinAnswer.LOST : StandinAnswer.json(report);
  }
}
