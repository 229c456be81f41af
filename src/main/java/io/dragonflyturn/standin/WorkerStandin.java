package io.dragonflyturn.standin;

import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.model.Worker;
import java.time.InstantSource;
import java.util.Map;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.ServerConnector;

/** Stands in for one platform worker: tasks under leases, requests in slots, and faults. */
public final class WorkerStandin {
  private static final int NOT_FOUND = 404;

  private final WorkerSettings settings;
  private final InstantSource clock;
  private final WorkerFaultState faults;
  private final TaskTable tasks;
  private final RequestDesk requests;
  private final ServerConnector connector;

  /** Creates a worker that listens once the server starts. */
  WorkerStandin(WorkerSettings settings, InstantSource clock, StandinServer server) {
    this.settings = settings;
    this.clock = clock;
    faults = new WorkerFaultState(settings.serviceMillis());
    tasks = new TaskTable(settings.name(), settings.checkpointMillis(), faults::failTasks);
    requests = new RequestDesk(settings.requestSlots(), faults, clock);
    connector = server.add(settings.port(), this::serve);
  }

  /** Returns the worker as the platform lists it. */
  public Worker listed() {
    String address = "127.0.0.1:" + connector.getLocalPort();
    return settings.listedAt(address, faults.leaving());
  }

  /** Changes the faults it shows. */
  public void change(WorkerFaults change) {
    faults.change(change);
  }

  /** Returns what it did since it started. */
  public WorkerHistory history() {
    advance();
    return new WorkerHistory(
        settings.name(), settings.failureDomain(), requests.history(), tasks.history());
  }

  /** Lets the tasks go on to the present. */
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
      default -> StandinAnswer.error(NOT_FOUND, "No such call: " + method + " " + path);
    };
  }

  private StandinAnswer control(WorkerExchange exchange) throws InterruptedException {
    WorkerReport report = tasks.exchange(exchange, clock.millis());
    Thread.sleep(faults.delayMillis());
    return faults.takeLostControlAnswer() ? StandinAnswer.LOST : StandinAnswer.json(report);
  }
}
