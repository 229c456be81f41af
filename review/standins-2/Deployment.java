import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: instances as the deploy file starts them, and the stand-ins around them. */
final class Deployment implements AutoCloseable {
  static final List<String> ZONES = List.of("north", "south", "west");
  static final String HOST = "jobs.example";
  static final String PREFIX = "/jobs/";
  static final String KEY = "key-of-tenant-a";

  /** How long a machine that was killed stays down; the dose of the site files is 3.5 s. */
  static final long DOWN_MILLIS = 3_500;

  /** The bounds of the settings that the checks use. */
  static final long STABLE_WINDOW_MILLIS = 3_000;

  static final long FINISH_MILLIS = 14_000;
  static final long CANCEL_MILLIS = 3_000;

  private static final long LONGEST_MILLIS = 115_000;
  private static final List<String> PASSED_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

  final Journal journal;
  final Store store;
  final Fleet fleet;
  final List<Instance> instances = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  private final Path directory;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  Deployment(Path caseFolder, int instanceCount, int workerCount) throws Exception {
    journal = new Journal(caseFolder.resolve("record.txt"));
    store = new Store(journal);
    fleet = new Fleet(store, journal);
    directory = Files.createTempDirectory("review-");
    writeConfiguration();
    for (int number = 0; number < workerCount; number++) {
      fleet.add("i-worker" + number, ZONES.get(number % 3), "r" + number / 8);
    }
    fleet.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
    for (int number = 0; number < instanceCount; number++) {
      instances.add(new Instance(number, instanceCount));
    }
    instances.forEach(Instance::launch);
  }

  private void writeConfiguration() {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", "queue-a");
    route.put("host", HOST);
    route.put("pathPrefix", PREFIX);
    route.put("kind", "unsafe");
    route.put("timeoutMs", 3_000);
    route.put("targetRuntimeMs", 1_000);
    route.put("priority", 1);
    route.put("service", Fleet.SERVICE);
    route.put("maxAttempts", 4);
    route.put("stretch", 3.0);
    route.put("anonymous", false);
    store.put(
        "keyed.op",
        "config",
        Map.of(
            "version", 1,
            "routes", List.of(route),
            "services",
                List.of(
                    Map.of(
                        "name", Fleet.SERVICE, "healthPath", "/health", "maxConnections", 64,
                        "protocol", "h1", "tls", false, "admissionControl", false,
                        "spare", false)),
            "limits", Map.of("maxHeaderBytes", 16_384, "maxBodyBytes", 262_144),
            "tenants",
                List.of(
                    Map.of(
                        "name", "tenant-a", "apiKeys", List.of(KEY), "priority", 1,
                        "guaranteed", Map.of("gpu", 0)))));
  }

  /** The newest leader that the store knows; null if there is none. */
  Instance leader() {
    byte[] value = store.newest("keyed.jobs", "leader");
    if (value == null) {
      return null;
    }
    String text = new String(value, StandardCharsets.ISO_8859_1);
    return instances.stream().filter(each -> text.contains(each.name)).findFirst().orElse(null);
  }

  /** Kills the leader and starts it again as the platform does, when it was down for a while. */
  void killLeader() throws InterruptedException {
    Instance leader = leader();
    journal.say("the leader %s is killed", leader.name);
    leader.kill();
    Thread.sleep(DOWN_MILLIS);
    leader.launch();
  }

  /** Waits until all instances are ready and one of them has begun to lead. */
  void awaitReady() throws Exception {
    long until = Journal.now() + 30_000;
    while (Journal.now() < until) {
      if (instances.stream().allMatch(Instance::ready) && leader() != null) {
        Thread.sleep(1_000);
        journal.say("all instances are ready; the leader is %s", leader().name);
        return;
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("the instances did not become ready");
  }

  static String jobId(int number) {
    return String.format("%016x", 0x5c0e7a2100000000L + number);
  }

  /** Hands in a job of one step whose tasks work for a time; returns the status. */
  int submitTasks(int number, int replicas, long taskMillis, String more) {
    return submitTasks(number, "ms=" + taskMillis, replicas, taskMillis, more);
  }

  /** The same with the text of the job, which tells the workers what its tasks do. */
  int submitTasks(int number, String spec, int replicas, long taskMillis, String more) {
    return submit(jobId(number), body(spec, replicas, taskMillis, more), number, 4);
  }

  /** The body of a job of one step. */
  static String body(String spec, int replicas, long taskMillis, String more) {
    return "{\"spec\":\"" + spec + "\",\"steps\":[{\"replicas\":" + replicas
        + ",\"estimateMs\":" + taskMillis + more + "}]}";
  }

  /** Sends one request of a consumer; returns the status, or 0 if there was no answer. */
  int send(Instance instance, String method, String path, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + instance.address + ":8521" + PREFIX + path))
            .timeout(Duration.ofMillis(3_000))
            .header("X-Deadline-Ms", "3000")
            .header("Authorization", "Token " + KEY);
    request.setHeader("Host", HOST);
    request.method(
        method,
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body));
    if (body != null) {
      request.header("Content-Type", "application/json");
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      journal.line(
          "%s %s at %s: %d %s", method, path, instance.name, response.statusCode(),
          body == null ? response.body() : body);
      return response.statusCode();
    } catch (IOException failure) {
      journal.line("%s %s at %s: %s", method, path, instance.name, failure);
      return 0;
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  /** Submits as a consumer does: after no answer or 5xx the same job again, at other instances. */
  int submit(String id, String body, int first, int attempts) {
    int status = 0;
    for (int attempt = 0; attempt < attempts; attempt++) {
      status = send(instances.get((first + attempt) % instances.size()), "POST", id, body);
      if (status != 0 && status < 500 && status != 429) {
        return status;
      }
      sleep(status == 503 || status == 429 ? 1_000 : 200);
    }
    return status;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  /** Returns the state that an instance shows for a job; empty without one. */
  String state(Instance instance, String id) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + instance.address + ":8521" + PREFIX + id))
            .timeout(Duration.ofMillis(3_000))
            .header("Authorization", "Token " + KEY)
            .setHeader("Host", HOST)
            .build();
    try {
      HttpResponse<byte[]> response =
          client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return response.statusCode() == 200
          ? String.valueOf(Json.object(response.body()).get("state"))
          : "";
    } catch (IOException failure) {
      return "";
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  @Override
  public void close() {
    cleanUp();
    fleet.close();
    store.close();
    journal.close();
  }

  /** Ends all processes that the case started, and deletes its temporary folder. */
  private synchronized void cleanUp() {
    instances.forEach(Instance::kill);
    if (!Files.exists(directory)) {
      return;
    }
    try (var files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException failure) {
      System.err.println("The temporary folder stays: " + failure);
    }
  }

  /** Ends the case as one that could not run, should it take too long. */
  private static void watch() {
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              try {
                Thread.sleep(LONGEST_MILLIS);
              } catch (InterruptedException interrupted) {
                return;
              }
              System.err.println("The case takes too long.");
              System.exit(2);
            });
  }

  /** Runs a case in a deployment; exits with 1 if the rule was broken, 0 if it held, 2 else. */
  static void run(int instances, int workers, Case test) {
    int status = 2;
    watch();
    try (Deployment deployment =
        new Deployment(Path.of(System.getenv("CASE_FOLDER")), instances, workers)) {
      deployment.awaitReady();
      boolean held = test.holds(deployment);
      deployment.instances.forEach(Instance::recordLeadership);
      deployment.journal.say(held ? "the rule held" : "the rule was broken");
      status = held ? 0 : 1;
    } catch (Throwable failure) {
      failure.printStackTrace();
    }
    System.exit(status);
  }

  /** A case: returns whether the rule held. */
  interface Case {
    boolean holds(Deployment deployment) throws Exception;
  }

  /** One instance, on its own loopback address. */
  final class Instance {
    final String name;
    final String address;
    private final Path settings;
    private final Path log;
    private Process process;

    private Instance(int number, int count) throws IOException {
      name = "front-" + ZONES.get(number % 3) + "-" + number;
      address = address(number);
      settings = directory.resolve(name + ".yaml");
      log = directory.resolve(name + ".log");
      List<String> seeds = new ArrayList<>();
      for (int seed = 0; seed < Math.min(3, count); seed++) {
        seeds.add("  - \"" + address(seed) + ":8526\"");
      }
      Files.writeString(
          settings,
          """
          nodeName: "%1$s"
          role: "instance"
          machineClass: "front"
          serves:
            - "front"
            - "control"
          ip: "%2$s"
          zone: "%3$s"
          region: "region-a"
          listen:
            frontend: "%2$s:8521"
            ready: "%2$s:8523"
            control: "%2$s:8526"
          portRange:
            - 7000
            - 7015
          seeds:
          %4$s
          limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0}
          heartbeatMs: %5$d
          bounds: {holdMaxMs: %6$d, stopMs: %7$d, gangMs: %8$d, graceS: 6}
          orders: "call"
          platform: {address: "%9$s", form: "log", writesPerS: 600, readsPerS: 2000, \
          recordBytes: %10$d, callBytes: %11$d, keep_s: 300}
          """
              .formatted(
                  name, address, ZONES.get(number % 3), String.join("\n", seeds),
                  Fleet.HEARTBEAT_MILLIS, Fleet.HOLD_MAX_MILLIS, Fleet.STOP_MILLIS,
                  Fleet.GANG_MILLIS, store.address(), Store.RECORD_BYTES, Store.CALL_BYTES));
    }

    private static String address(int number) {
      long pid = ProcessHandle.current().pid();
      return "127." + (20 + pid % 200) + "." + pid / 200 % 250 + "." + (number + 1);
    }

    void launch() {
      try {
        Matcher run =
            Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
          throw new IllegalStateException("the deploy file has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().keySet().retainAll(PASSED_VARIABLES);
        builder.environment().put("DRAGONFLYTURN_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        journal.line("%s starts", name);
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }

    void kill() {
      if (process != null && process.isAlive()) {
        process.destroyForcibly().onExit().join();
        journal.line("%s was killed", name);
      }
    }

    boolean ready() {
      try {
        return client
                .send(
                    HttpRequest.newBuilder(
                            URI.create("http://" + address + ":8523/v1/readiness"))
                        .timeout(Duration.ofMillis(500))
                        .build(),
                    HttpResponse.BodyHandlers.discarding())
                .statusCode()
            == 200;
      } catch (IOException notYet) {
        return false;
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }

    /** Copies what the process has logged of its leadership to the record. */
    private void recordLeadership() {
      try {
        for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
          if (line.contains("\"event\":\"leadership-")) {
            journal.line("log: %s", line);
          }
        }
      } catch (IOException none) {
        journal.line("%s has no log: %s", name, none);
      }
    }
  }
}
