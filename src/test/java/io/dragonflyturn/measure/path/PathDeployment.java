package io.dragonflyturn.measure.path;

import io.dragonflyturn.daemon.EntryMain;
import io.dragonflyturn.daemon.InstanceMain;
import io.dragonflyturn.daemon.SchedulerMain;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.scenario.ChildProcess;
import io.dragonflyturn.standin.LoopbackPorts;
import io.dragonflyturn.standin.PlatformMain;
import io.dragonflyturn.standin.WorkerMain;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Deployment of instances, workers, and the platform stand-in as processes, with entry and
 * scheduler in one process or in separate processes.
 */
final class PathDeployment implements AutoCloseable {
  static final String CUSTOMER_TOKEN = "customer-token";
  static final String OPERATOR_TOKEN = "operator-token";
  static final List<String> DOMAINS = List.of("salamanca", "north-hobart");

  private static final int WORKER_PROCESSES = 3;

  private final Closer closer = new Closer();
  private final Map<String, ChildProcess> daemons = new LinkedHashMap<>();
  private final List<URI> entries = new ArrayList<>();
  private final List<String> workers = new ArrayList<>();

  /**
   * Starts all processes and waits until they are ready.
   *
   * @param instances the number of instances
   * @param workerCount the number of workers
   * @param separate whether entry and scheduler are separate processes
   */
  PathDeployment(int instances, int workerCount, boolean separate) {
    ChildProcess platformProcess =
        register(
            ChildProcess.start(
                "platform", PlatformMain.class, "ready platform", List.of("--port", "0")));
    String platform = readyWord(platformProcess, "ready platform", 2);
    startWorkers(platform, workerCount);
    List<Integer> ports = LoopbackPorts.free(instances);
    for (int number = 0; number < instances; number++) {
      if (separate) {
        startSeparate(number, ports, platform);
      } else {
        start("instance", InstanceMain.class, number, ports.get(number), platform, peers(ports));
      }
    }
    awaitEntries(separate ? "entry" : "instance");
  }

  Map<String, ChildProcess> daemons() {
    return Map.copyOf(daemons);
  }

  List<URI> entries() {
    return List.copyOf(entries);
  }

  List<String> workers() {
    return List.copyOf(workers);
  }

  private void startWorkers(String platform, int count) {
    int each = Math.ceilDiv(count, WORKER_PROCESSES);
    for (int first = 1; first <= count; first += each) {
      ChildProcess process =
          register(
              ChildProcess.start(
                  "workers-" + first,
                  WorkerMain.class,
                  "ready workers",
                  List.of(
                      "--platform", platform,
                      "--first", Integer.toString(first),
                      "--count", Integer.toString(Math.min(each, count - first + 1)),
                      "--failure-domains", String.join(",", DOMAINS))));
      for (String line : process.awaitReady()) {
        if (line.startsWith("ready worker ")) {
          workers.add(line.split(" ", -1)[3]);
        }
      }
    }
  }

  private void startSeparate(int number, List<Integer> ports, String platform) {
    int port = ports.get(number);
    start("scheduler", SchedulerMain.class, number, port, platform, peers(ports));
    String local = "127.0.0.1:" + port;
    start(
        "entry",
        EntryMain.class,
        number,
        0,
        platform,
        List.of("--schedulers", local + "," + addresses(ports)));
  }

  private void start(
      String role,
      Class<?> mainClass,
      int number,
      int controlPort,
      String platform,
      List<String> extraArguments) {
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("--instance-name", "i" + (number + 1)));
    arguments.addAll(List.of("--failure-domain", DOMAINS.get(number % DOMAINS.size())));
    arguments.addAll(List.of("--control-address", "127.0.0.1:" + controlPort));
    arguments.addAll(List.of("--http-address", "127.0.0.1:0"));
    if (!role.equals("entry")) {
      arguments.addAll(List.of("--platform", "http://" + platform));
    }
    if (!role.equals("scheduler")) {
      arguments.addAll(List.of("--customer-tokens", "derwent=" + CUSTOMER_TOKEN));
      arguments.addAll(List.of("--operator-tokens", "operator=" + OPERATOR_TOKEN));
    }
    arguments.addAll(extraArguments);
    String name = role + "-" + (number + 1);
    daemons.put(name, register(ChildProcess.start(name, mainClass, "ready " + role, arguments)));
  }

  private void awaitEntries(String role) {
    daemons.forEach(
        (name, process) -> {
          process.awaitReady();
          if (name.startsWith(role)) {
            entries.add(URI.create("http://" + readyWord(process, "ready " + role, 2)));
          }
        });
  }

  private ChildProcess register(ChildProcess process) {
    return closer.register(process);
  }

  private static List<String> peers(List<Integer> ports) {
    return ports.size() == 1 ? List.of() : List.of("--peers", addresses(ports));
  }

  private static String addresses(List<Integer> ports) {
    return ports.stream().map(port -> "127.0.0.1:" + port).collect(Collectors.joining(","));
  }

  private static String readyWord(ChildProcess process, String prefix, int index) {
    return process.awaitReady().stream()
        .filter(line -> line.startsWith(prefix))
        .findFirst()
        .map(line -> line.split(" ", -1)[index])
        .orElseThrow();
  }

  @Override
  public void close() {
    closer.close();
  }
}
