package io.dragonflyturn.scenario;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.daemon.InstanceMain;
import io.dragonflyturn.internal.http.EntryInstance;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.standin.LoopbackPorts;
import io.dragonflyturn.standin.PlatformFaults;
import io.dragonflyturn.standin.PlatformSettings;
import io.dragonflyturn.standin.PlatformStandin;
import io.dragonflyturn.standin.Registration;
import io.dragonflyturn.standin.WorkerFaults;
import io.dragonflyturn.standin.WorkerHistory;
import io.dragonflyturn.standin.WorkerMain;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Test deployment that runs instances and workers as child processes and the platform stand-in in
 * the test process.
 */
public final class Deployment implements AutoCloseable {
  private static final String CUSTOMER_TOKEN = "token-of-derwent";
  private static final String OPERATOR_TOKEN = "token-of-operator";
  private static final String FREE_HTTP_ADDRESS = "127.0.0.1:0";

  /** Instance settings with short leases, which shorten the detection of failed instances. */
  static final List<String> SHORT_LEASES =
      List.of("--leadership-lease", "2s", "--heartbeat-interval", "300ms");

  private static final int HEALTHY = 200;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient http = HttpClient.newHttpClient();
  private final PlatformStandin platform =
      new PlatformStandin(PlatformSettings.DEFAULT, InstantSource.system());
  private final List<Integer> controlPorts;
  private final List<Relay> relays = new ArrayList<>();
  private final List<ChildProcess> instances = new ArrayList<>();
  private final List<URI> entries = new ArrayList<>();
  private final Map<String, ChildProcess> workerProcesses = new LinkedHashMap<>();
  private final Map<String, String> workerAddresses = new LinkedHashMap<>();
  private final List<String> domains;
  private final List<String> instanceSettings;
  private final List<Dragonflyturn> clients = new ArrayList<>();

  /**
   * Starts all processes and waits until they are ready.
   *
   * @param instanceCount the number of instances
   * @param workersPerDomain the number of workers in each failure domain
   * @param domains the names of the failure domains
   * @param instanceSettings additional command-line arguments of every instance
   */
  public Deployment(
      int instanceCount,
      int workersPerDomain,
      List<String> domains,
      List<String> instanceSettings) {
    this.domains = List.copyOf(domains);
    this.instanceSettings = List.copyOf(instanceSettings);
    controlPorts = LoopbackPorts.free(instanceCount);
    platform.start();
    for (String domain : domains) {
      startWorkers(domain, workersPerDomain);
    }
    for (int number = 0; number < instanceCount; number++) {
      relays.add(new Relay(platform.port()));
    }
    for (int number = 0; number < instanceCount; number++) {
      instances.add(startInstance(number, FREE_HTTP_ADDRESS));
    }
    workerProcesses.values().forEach(this::readAddresses);
    for (ChildProcess instance : instances) {
      String address = instance.awaitReady().getFirst().split(" ", -1)[2];
      entries.add(URI.create(address.startsWith("http") ? address : "http://" + address));
    }
    for (int number = 0; number < instanceCount; number++) {
      register(number);
    }
  }

  /** Returns the platform stand-in. */
  public PlatformStandin platform() {
    return platform;
  }

  /** Returns an instance by its number, from 1. */
  public ChildProcess instance(int number) {
    return instances.get(number - 1);
  }

  /** Restarts an exited instance at its previous addresses and waits until it is ready. */
  public void replace(int number) {
    String httpAddress = entries.get(number - 1).getAuthority();
    ChildProcess replacement = startInstance(number - 1, httpAddress);
    instances.set(number - 1, replacement);
    replacement.awaitReady();
  }

  /** Returns whether the health check of an instance succeeds; instances count from 1. */
  public boolean isHealthy(int number) {
    HttpRequest check =
        HttpRequest.newBuilder(entries.get(number - 1).resolve("/health"))
            .timeout(CALL_TIMEOUT)
            .build();
    try {
      return http.send(check, HttpResponse.BodyHandlers.discarding()).statusCode() == HEALTHY;
    } catch (IOException unreachable) {
      return false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the number of instances. */
  public int instanceCount() {
    return instances.size();
  }

  /** Returns the relay between an instance and the platform; instances count from 1. */
  public Relay relay(int number) {
    return relays.get(number - 1);
  }

  /** Returns the process that hosts all workers of a failure domain. */
  public ChildProcess workersOf(String domain) {
    return Objects.requireNonNull(workerProcesses.get(domain), domain);
  }

  /** Returns a customer client of all entries; the deployment closes it. */
  public Dragonflyturn customer() {
    return client(entries, CUSTOMER_TOKEN);
  }

  /** Returns an operator client of all entries. */
  public Dragonflyturn operator() {
    return client(entries, OPERATOR_TOKEN);
  }

  /** Returns an operator client of one entry; instances count from 1. */
  public Dragonflyturn operatorAt(int number) {
    return client(List.of(entries.get(number - 1)), OPERATOR_TOKEN);
  }

  /** Returns a customer client of one entry; instances count from 1. */
  public Dragonflyturn customerAt(int number) {
    return client(List.of(entries.get(number - 1)), CUSTOMER_TOKEN);
  }

  /** Returns a customer client for each entry, in the order of the instances. */
  public List<Dragonflyturn> customersAtEachEntry() {
    List<Dragonflyturn> customers = new ArrayList<>();
    for (int number = 1; number <= instanceCount(); number++) {
      customers.add(customerAt(number));
    }
    return customers;
  }

  /**
   * Returns a configuration with two customers.
   *
   * @param guaranteedMembers the number of workers guaranteed to the customer derwent; 0 for none
   */
  public Configuration configuration(int guaranteedMembers) {
    List<Shape> guarantees =
        guaranteedMembers == 0 ? List.of() : List.of(new Shape(guaranteedMembers, 8, Span.REGION));
    return new Configuration(
        List.of(
            new Customer("derwent", guarantees, 0, Map.of()),
            new Customer("brunner", List.of(), 0, Map.of())),
        domains.stream()
            .map(name -> new FailureDomain(name, "main", ServiceState.IN_SERVICE, 0, 0, Map.of()))
            .toList(),
        Map.of(),
        List.of());
  }

  /** Changes the faults of all workers of a failure domain. */
  public void changeWorkers(String domain, WorkerFaults faults) {
    workerAddresses.forEach(
        (name, address) -> {
          if (name.startsWith(domain)) {
            call(address + "/faults", JsonCodec.write(faults));
          }
        });
  }

  /** Returns the histories of all workers whose process is alive; none may be suspended. */
  public List<WorkerHistory> histories() {
    return workerAddresses.entrySet().stream()
        .filter(entry -> workersOf(domainOf(entry.getKey())).isAlive())
        .map(entry -> JsonCodec.read(get(entry.getValue() + "/history"), WorkerHistory.class))
        .collect(Collectors.toList());
  }

  /** Reads the control log, which must be available. */
  LogHistory logHistory() {
    return LogHistory.read(new PlatformLogReader(http, platform.address()));
  }

  /** Clears all platform and network faults, and resumes suspended processes. */
  public void clearFaults() {
    platform.change(PlatformFaults.heal());
    relays.forEach(relay -> relay.set(Relay.Mode.OPEN));
    instances.forEach(ChildProcess::thaw);
    workerProcesses.values().forEach(ChildProcess::thaw);
  }

  @Override
  public void close() {
    clients.forEach(Dragonflyturn::close);
    instances.forEach(ChildProcess::close);
    workerProcesses.values().forEach(ChildProcess::close);
    relays.forEach(Relay::close);
    platform.close();
    http.close();
  }

  private Dragonflyturn client(List<URI> uris, String token) {
    Dragonflyturn client = Dragonflyturn.connect(uris, token, CALL_TIMEOUT);
    clients.add(client);
    return client;
  }

  private ChildProcess startInstance(int number, String httpAddress) {
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("--instance-name", "instance-" + (number + 1)));
    arguments.addAll(List.of("--failure-domain", domains.get(number % domains.size())));
    arguments.addAll(List.of("--http-address", httpAddress));
    arguments.addAll(List.of("--control-address", "127.0.0.1:" + controlPorts.get(number)));
    arguments.addAll(List.of("--platform", "http://127.0.0.1:" + relays.get(number).port()));
    arguments.addAll(List.of("--customer-tokens", "derwent=" + CUSTOMER_TOKEN));
    arguments.addAll(List.of("--operator-tokens", "operator=" + OPERATOR_TOKEN));
    arguments.addAll(instanceSettings);
    String peers =
        controlPorts.stream()
            .filter(port -> !port.equals(controlPorts.get(number)))
            .map(port -> "127.0.0.1:" + port)
            .collect(Collectors.joining(","));
    if (!peers.isEmpty()) {
      arguments.addAll(List.of("--peers", peers, "--schedulers", peers));
    }
    return ChildProcess.start(
        "instance-" + (number + 1), InstanceMain.class, "ready instance", arguments);
  }

  private void startWorkers(String domain, int count) {
    List<String> arguments =
        List.of(
            "--platform",
            platform.address(),
            "--name",
            domain,
            "--count",
            Integer.toString(count),
            "--failure-domains",
            domain);
    workerProcesses.put(
        domain, ChildProcess.start(domain, WorkerMain.class, "ready workers", arguments));
  }

  private void readAddresses(ChildProcess workers) {
    for (String line : workers.awaitReady()) {
      String[] words = line.split(" ", -1);
      if (line.startsWith("ready worker ")) {
        workerAddresses.put(words[2], words[3]);
      }
    }
  }

  private void register(int number) {
    platform.register(
        Registration.of(
            new EntryInstance(
                "instance-" + (number + 1),
                "127.0.0.1:" + controlPorts.get(number),
                domains.get(number % domains.size()),
                false)));
  }

  private String domainOf(String worker) {
    return domains.stream().filter(worker::startsWith).findFirst().orElseThrow();
  }

  private byte[] get(String address) {
    return exchange(HttpRequest.newBuilder(URI.create("http://" + address)));
  }

  private void call(String address, byte[] body) {
    exchange(
        HttpRequest.newBuilder(URI.create("http://" + address))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body)));
  }

  private byte[] exchange(HttpRequest.Builder request) {
    try {
      return http.send(
              request.timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofByteArray())
          .body();
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }
}
