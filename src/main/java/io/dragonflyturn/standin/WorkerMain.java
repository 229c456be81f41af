package io.dragonflyturn.standin;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * Runs worker stand-ins as a process; prints {@code ready worker NAME ADDRESS} for each worker and
 * then {@code ready workers COUNT}.
 */
public final class WorkerMain {
  @Option(name = "--platform", usage = "address of the platform stand-in, as 127.0.0.1:PORT")
  private @Nullable String platform;

  @Option(name = "--name", usage = "name of the worker; a number is appended if --count is above 1")
  private String name = "worker";

  @Option(name = "--first", usage = "number of the first worker")
  private int first = 1;

  @Option(name = "--count", usage = "number of workers in this process")
  private int count = 1;

  @Option(
      name = "--failure-domains",
      usage = "comma-separated failure domains; workers are assigned round-robin")
  private String failureDomains = "domain-1";

  @Option(name = "--workers-per-rack", usage = "number of workers per rack of a failure domain")
  private int workersPerRack = 6;

  @Option(name = "--port", usage = "port of the first worker; 0 selects free ports")
  private int port;

  @Option(name = "--accelerators", usage = "number of accelerators per worker")
  private int accelerators = 8;

  @Option(name = "--request-slots", usage = "maximum number of concurrent requests per worker")
  private int requestSlots = 8;

  @Option(name = "--service-millis", usage = "service time of a request, in milliseconds")
  private long serviceMillis = 5;

  @Option(name = "--checkpoint-millis", usage = "checkpoint interval, in milliseconds")
  private long checkpointMillis = 500;

  private WorkerMain() {}

  /** Starts the workers and serves until the process ends. */
  @SuppressWarnings("SystemOut") // The parent process waits for the ready lines.
  public static void main(String[] arguments) throws InterruptedException {
    WorkerMain main = new WorkerMain();
    ToolArguments.read(main, arguments);
    try (WorkerHost host = new WorkerHost(main.settings(), InstantSource.system())) {
      host.start();
      for (WorkerStandin worker : host.workers()) {
        System.out.println(
            "ready worker " + worker.listed().name() + " " + worker.listed().address());
      }
      System.out.println("ready workers " + main.count);
      Thread.currentThread().join();
    }
  }

  private List<WorkerSettings> settings() {
    List<String> domains = List.of(failureDomains.split(",", -1));
    List<WorkerSettings> all = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      int number = first + index;
      String domain = domains.get((number - 1) % domains.size());
      int rack = (number - 1) / domains.size() / workersPerRack + 1;
      all.add(
          new WorkerSettings(
              count == 1 ? name : name + "-" + number,
              port == 0 ? 0 : port + index,
              domain,
              domain + "-rack-" + rack,
              accelerators,
              requestSlots,
              serviceMillis,
              checkpointMillis,
              platform,
              Map.of()));
    }
    return all;
  }
}
