import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment: instances as processes, and the store, workers, and operator as stand-ins. */
final class Deployment implements AutoCloseable {
  static final String SERVICE = "service-a";
  static final String KEY = "key-of-tenant-1";
  static final String OTHER_KEY = "key-of-tenant-2";
  static final int GUARANTEED_GPUS = 8;
  static final String HOST = "jobs.example";
  static final long HOLD_MAX_MILLIS = 6_000;

  final Record record;
  final StoreServer store;
  final List<WorkerServer> workers = new CopyOnWriteArrayList<>();
  final Map<String, Process> instances = new ConcurrentHashMap<>();
  private final Path root;
  private final Path folder;
  private final String network;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final Thread ticker;
  private volatile boolean closed;

  /** An answer to a consumer; the status is 0 if there was none. */
  record Answer(int status, String body) {}

  Deployment(Path root, Path caseFolder) throws IOException {
    this.root = root;
    record = new Record(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("review-case-");
    long pid = ProcessHandle.current().pid();
    network = "127." + (30 + pid % 200) + "." + (pid / 200 % 200) + ".";
    store = new StoreServer(network + 200);
    Thread killAll =
        Thread.ofPlatform().unstarted(() -> instances.values().forEach(Process::destroyForcibly));
    Runtime.getRuntime().addShutdownHook(killAll);
    ticker =
        Thread.ofPlatform()
            .daemon()
            .start(
                () -> {
                  while (!closed) {
                    workers.forEach(WorkerServer::tick);
                    pause(10);
                  }
                });
  }

  /** Starts workers of one kind and three instances, and waits until the workers are idle. */
  void start(int workerCount, WorkerServer.Kind kind, WorkerServer.Judge judge) throws IOException {
    writeManifest(3, 2, List.of(KEY, OTHER_KEY));
    for (int number = 0; number < workerCount; number++) {
      addWorker(number % 2 == 0 ? "north" : "south", kind, judge);
    }
    for (int number = 1; number <= 3; number++) {
      startInstance(number, number % 2 == 0 ? "north" : "south");
    }
    awaitReady(3, true);
    pause(4_000);
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Adds and boots a worker. */
  WorkerServer addWorker(String zone, WorkerServer.Kind kind, WorkerServer.Judge judge) {
    int number = workers.size() + 1;
    WorkerServer worker =
        new WorkerServer(
            "worker-" + number,
            network + (100 + number),
            zone,
            SERVICE,
            kind,
            HOLD_MAX_MILLIS,
            store,
            record,
            judge);
    worker.boot(kind);
    workers.add(worker);
    return worker;
  }

  /** Writes the manifest: one route for each priority from 0 to 2, "/q0/" to "/q2/". */
  void writeManifest(long version, int maxAttempts, List<String> keys) throws IOException {
    ObjectNode body = StoreServer.JSON.createObjectNode();
    body.put("version", version);
    ArrayNode routes = body.putArray("routes");
    for (int priority = 0; priority < 3; priority++) {
      routes
          .addObject()
          .put("name", "queue-" + priority)
          .put("host", HOST)
          .put("pathPrefix", "/q" + priority + "/")
          .put("kind", "unsafe")
          .put("timeoutMs", 3000)
          .put("targetRuntimeMs", 1000)
          .put("priority", priority)
          .put("service", SERVICE)
          .put("maxAttempts", maxAttempts)
          .put("stretch", 3.0)
          .put("anonymous", false);
    }
    body.putArray("services")
        .addObject()
        .put("name", SERVICE)
        .put("admissionControl", false)
        .put("spare", false);
    ArrayNode tenants = body.putArray("tenants");
    for (int number = 0; number < keys.size(); number++) {
      ObjectNode tenant = tenants.addObject().put("name", "tenant-" + (number + 1));
      tenant.putArray("apiKeys").add(keys.get(number));
      tenant.put("priority", 1).putObject("guaranteed").put("gpu", GUARANTEED_GPUS);
    }
    store.put("keyed.op", "config", StoreServer.JSON.writeValueAsBytes(body));
    record.line("operator", "the manifest has version " + version);
  }

  String address(int number) {
    return network + number;
  }

  /** Starts an instance with the command of the deploy file. */
  Process startInstance(int number, String zone) throws IOException {
    String name = "front-" + number;
    String ip = address(number);
    Path settings = folder.resolve(name + ".yaml");
    Files.writeString(
        settings,
        String.join(
            "\n",
            "nodeName: \"" + name + "\"",
            "role: \"instance\"",
            "machineClass: \"front\"",
            "serves: [\"front\", \"control\"]",
            "ip: \"" + ip + "\"",
            "zone: \"" + zone + "\"",
            "listen:",
            "  frontend: \"" + ip + ":8521\"",
            "  ready: \"" + ip + ":8523\"",
            "  control: \"" + ip + ":8526\"",
            "portRange: [7000, 7015]",
            "seeds: [\"" + address(1) + ":8526\", \"" + address(2) + ":8526\"]",
            "limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0}",
            "heartbeatMs: 1500",
            "bounds: {stableWindowMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6,"
                + " configApplyMs: 2000, evacuateMs: 5000, holdMaxMs: 6000, stopMs: 200,"
                + " gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, finish_s: 14,"
                + " reclaimMs: 2700}",
            "orders: \"call\"",
            "platform: {address: \"" + network + 200 + ":" + store.port() + "\", form: \"log\","
                + " writesPerS: 600, readsPerS: 2000, parts: 24, recordBytes: 262144,"
                + " callBytes: 2097152, keep_s: 300}",
            ""));
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceAll("^run = \"(.*)\"$", "$1");
    ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
    builder.directory(root.toFile());
    builder.environment().put("DRAGONFLYTURN_NODE_FILE", settings.toString());
    Path log = folder.resolve(name + ".log");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Process process = builder.start();
    instances.put(name, process);
    record.line(name, "starts as process " + process.pid());
    return process;
  }

  /** Returns the lines that an instance has printed. */
  List<String> log(int number) throws IOException {
    return Files.readAllLines(folder.resolve("front-" + number + ".log"));
  }

  /** Returns the number of the instance that leads, by its own log; 0 if none does. */
  int leader() throws IOException {
    int leader = 0;
    long highest = 0;
    for (int number = 1; number <= instances.size(); number++) {
      for (String line : log(number)) {
        if (line.contains("\"event\":\"leadership-ready\"")) {
          long term = Long.parseLong(line.replaceAll(".*\"term\":([0-9]+).*", "$1"));
          if (term > highest) {
            highest = term;
            leader = number;
          }
        }
      }
    }
    return leader;
  }

  /** Waits until instances answer their readiness check, and one of them leads. */
  void awaitReady(int count, boolean withLeader) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (int number = 1; number <= count; number++) {
      while (get("http://" + address(number) + ":8523/v1/readiness").status != 200) {
        checkStarting(deadline);
      }
    }
    while (withLeader && leader() == 0) {
      checkStarting(deadline);
    }
    record.line("judge", "all instances are ready, front-" + leader() + " leads");
  }

  private static void checkStarting(long deadline) {
    if (System.nanoTime() > deadline) {
      throw new IllegalStateException("The instances were not ready in time.");
    }
    pause(50);
  }

  private Answer get(String uri) {
    return send(HttpRequest.newBuilder(URI.create(uri)).GET());
  }

  private Answer send(HttpRequest.Builder request) {
    try {
      HttpResponse<String> response =
          client.send(
              request.timeout(Duration.ofSeconds(3)).build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException unanswered) {
      return new Answer(0, "");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new Answer(0, "");
    }
  }

  /** Sends a consumer's call to an instance, with the key of the first tenant. */
  Answer call(int instance, String method, String path, String body) {
    return call(instance, method, path, body, KEY);
  }

  /** Sends a consumer's call to an instance. */
  Answer call(int instance, String method, String path, String body, String key) {
    Answer answer =
        send(
            HttpRequest.newBuilder(URI.create("http://" + address(instance) + ":8521" + path))
                .method(
                    method,
                    body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body))
                .header("Host", HOST)
                .header("Authorization", "Token " + key)
                .header("Content-Type", "application/json")
                .header("X-Deadline-Ms", "3000"));
    record.line(
        "consumer",
        method + " " + path + " at front-" + instance + " -> " + answer.status + " " + answer.body);
    return answer;
  }

  /** Submits a job and repeats the call until it is accepted. */
  boolean submit(int instance, String path, String body) {
    return submit(instance, path, body, KEY);
  }

  /** Submits a job of a tenant and repeats the call until it is accepted. */
  boolean submit(int instance, String path, String body, String key) {
    for (int attempt = 0; attempt < 5; attempt++) {
      if (call(instance, "POST", path, body, key).status / 100 == 2) {
        return true;
      }
      pause(200);
    }
    return false;
  }

  void signal(Process process, String name) throws IOException {
    record.line("platform", "SIG" + name + " to process " + process.pid());
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    instances.values().forEach(Process::destroyForcibly);
    for (Process process : instances.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    closed = true;
    store.stop();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException leftBehind) {
      record.line("judge", "the temporary folder is left behind: " + leftBehind);
    }
  }
}
