package io.dragonflyturn.command;

import io.dragonflyturn.daemon.Daemon;
import io.dragonflyturn.daemon.InstanceMain;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.settings.InstanceSettings;
import io.dragonflyturn.standin.LoopbackPorts;
import io.dragonflyturn.standin.PlatformSettings;
import io.dragonflyturn.standin.PlatformStandin;
import io.dragonflyturn.standin.WorkerHistory;
import io.dragonflyturn.standin.WorkerHost;
import io.dragonflyturn.standin.WorkerSettings;
import io.dragonflyturn.standin.WorkerStandin;
import java.net.URI;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment in one process: a platform stand-in, twelve workers, and three instances. */
final class DemoDeployment implements AutoCloseable {
  static final String FIRST_DOMAIN = "salamanca";
  static final String SECOND_DOMAIN = "glenorchy";
  static final String CUSTOMER = "kiosks";
  static final String CUSTOMER_TOKEN = "kiosks-token";
  static final String OPERATOR_TOKEN = "operator-token";
  static final int WORKERS_PER_DOMAIN = 6;
  static final int ACCELERATORS_PER_WORKER = 8;

  private static final int INSTANCES = 3;
  private static final int WORKERS_PER_RACK = 3;

  private final Closer closer = new Closer();
  private final List<URI> entries = new ArrayList<>();
  private WorkerHost workers = new WorkerHost(List.of(), InstantSource.system());

  /** Starts the platform, the workers, and the instances; returns when all of them are running. */
  void start() {
    PlatformStandin platform =
        closer.register(new PlatformStandin(PlatformSettings.DEFAULT, InstantSource.system()));
    platform.start();
    workers = closer.register(new WorkerHost(workerSettings(platform), InstantSource.system()));
    workers.start();
    List<Integer> ports = LoopbackPorts.free(INSTANCES * 2);
    String peers = peerAddresses(ports.subList(0, INSTANCES));
    for (int index = 0; index < INSTANCES; index++) {
      int httpPort = ports.get(INSTANCES + index);
      startInstance(index, platform.address(), ports.get(index), httpPort, peers);
      entries.add(URI.create("http://127.0.0.1:" + httpPort));
    }
  }

  List<URI> entries() {
    return List.copyOf(entries);
  }

  List<WorkerHistory> histories() {
    return workers.workers().stream().map(WorkerStandin::history).toList();
  }

  private void startInstance(
      int index, String platform, int controlPort, int httpPort, String peers) {
    String[] arguments = {
      "--instance-name", "instance-" + (index + 1),
      "--failure-domain", index % 2 == 0 ? FIRST_DOMAIN : SECOND_DOMAIN,
      "--region", "tasmania",
      "--platform", "http://" + platform,
      "--control-address", "127.0.0.1:" + controlPort,
      "--http-address", "127.0.0.1:" + httpPort,
      "--peers", peers,
      "--customer-tokens", CUSTOMER + "=" + CUSTOMER_TOKEN,
      "--operator-tokens", "operator=" + OPERATOR_TOKEN
    };
    Daemon daemon = InstanceMain.create(InstanceSettings.parse(arguments, Map.of()));
    closer.register(daemon);
    daemon.start();
  }

  private static List<WorkerSettings> workerSettings(PlatformStandin platform) {
    List<WorkerSettings> settings = new ArrayList<>();
    for (String domain : List.of(FIRST_DOMAIN, SECOND_DOMAIN)) {
      for (int index = 0; index < WORKERS_PER_DOMAIN; index++) {
        String rack = domain + "-rack-" + (index / WORKERS_PER_RACK + 1);
        settings.add(
            WorkerSettings.of(domain + "-worker-" + (index + 1), domain, rack, platform.address()));
      }
    }
    return settings;
  }

  private static String peerAddresses(List<Integer> ports) {
    return String.join(",", ports.stream().map(port -> "127.0.0.1:" + port).toList());
  }

  @Override
  public void close() {
    closer.close();
  }
}
