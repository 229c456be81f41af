package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: instances as processes, and stand-ins of the store, workers, operator. */
final class Deployment implements AutoCloseable {
  static final String HOST = "jobs.example";
  static final String KEY = "key-of-tenant-a";

  /** Exit statuses of a case. */
  static final int HELD = 0;

  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final Recorder recorder;
  final Fleet fleet;
  final List<Instance> instances = new ArrayList<>();
  private final List<HttpStandin> storeServers = new ArrayList<>();
  private final Path folder;
  private final Path repository;
  private final int group = (int) (ProcessHandle.current().pid() % 5_000);

  /** Whether the path between an instance and the store is cut, or the store is down for it. */
  volatile java.util.function.IntPredicate cutFromStore = instance -> false;

  Deployment(Path repository, Path folder, Recorder recorder) {
    this.repository = repository;
    this.folder = folder;
    this.recorder = recorder;
    this.fleet = new Fleet(recorder, owner -> new Store(owner::addressed));
    writeConfiguration();
  }

  private void writeConfiguration() {
    StringBuilder routes = new StringBuilder();
    for (int priority = 0; priority < 3; priority++) {
      routes.append(priority == 0 ? "" : ",");
      routes.append(
          """
          {"name":"r-%d","host":"%s","pathPrefix":"/q%d/","kind":"unsafe","timeoutMs":3000,
           "targetRuntimeMs":1000,"priority":%d,"service":"%s","maxAttempts":4,"stretch":3.0,
           "anonymous":false}"""
              .formatted(priority, HOST, priority, priority, Fleet.SERVICE));
    }
    fleet
        .store()
        .put(
            "keyed.op",
            "config",
            """
            {"version":7,"routes":[%s],"services":[{"name":"%s","admissionControl":false}],
             "limits":{"maxBodyBytes":262144},
             "tenants":[{"name":"tenant-a","apiKeys":["%s"],"guaranteed":{"gpu":16}}]}"""
                .formatted(routes, Fleet.SERVICE, KEY));
  }

  /** Adds an instance, which reaches the store at a port of its own. */
  Instance add(String zone, String zones) {
    int number = instances.size();
    HttpStandin server =
        new HttpStandin(
            () -> cutFromStore.test(number), call -> fleet.store().serve(number, call));
    storeServers.add(server);
    Instance instance =
        new Instance(repository, folder, number, group, zone, zones, server.port());
    instances.add(instance);
    return instance;
  }

  /** Starts an instance and waits until it is ready. */
  void start(Instance instance) throws InterruptedException {
    instance.start();
    for (int attempt = 0; !instance.isReady(); attempt++) {
      if (attempt > 300 || !instance.isAlive()) {
        throw new IllegalStateException(instance.name + " was not ready in time");
      }
      Thread.sleep(100);
    }
    recorder.write("%s is ready", instance.name);
  }

  /** Makes a call as a consumer and records it. */
  Http.Response call(Instance instance, String method, String path, String body) {
    recorder.write("%s %s is sent to %s", method, path, instance.name);
    Http.Response response =
        Http.call(instance.ip, 8521, method, path, HOST, KEY, body, 3_000);
    recorder.write(
        "%s %s at %s is answered with %s%s %s",
        method,
        path,
        instance.name,
        response.status() == 0 ? "nothing" : response.status(),
        response.retryAfter().isEmpty() ? "" : ", Retry-After " + response.retryAfter() + ",",
        response.body());
    return response;
  }

  /** Returns the body of a submission of one step. */
  static String job(int replicas, int accelerators, long workMillis) {
    return """
        {"spec":"work=%d","steps":[{"replicas":%d,"cpu":1000,"memMb":256,"gpu":%d,"estimateMs":%d}]}"""
        .formatted(workMillis, replicas, accelerators, workMillis);
  }

  @Override
  public void close() {
    instances.forEach(Instance::close);
    fleet.close();
    storeServers.forEach(HttpStandin::close);
  }

  /** A case; it returns an exit status. */
  interface Case {
    int run(Deployment deployment, boolean trouble) throws Exception;
  }

  /** Runs a case, and ends this process with its exit status. */
  static void main(String[] arguments, Case test) throws IOException {
    Path repository = Path.of(arguments[0]).toAbsolutePath();
    Path caseFolder = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    int status = NOT_RUN;
    try (Recorder recorder = new Recorder(caseFolder.resolve("record.txt"))) {
      recorder.write("the case runs %s the disruption", trouble ? "with" : "without");
      Deployment deployment = new Deployment(repository, folder, recorder);
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(() -> deployment.instances.forEach(Instance::close)));
      try (deployment) {
        status = test.run(deployment, trouble);
      } catch (Exception failure) {
        recorder.write("the case could not run: %s", failure);
      }
      for (Instance instance : deployment.instances) {
        for (String line : instance.logLines("\"leadership-")) {
          recorder.write("log of %s: %s", instance.name, line);
        }
      }
      recorder.write(
          "%s",
          status == BROKEN ? "THE RULE WAS BROKEN" : status == HELD ? "the rule held" : "not run");
    } finally {
      if (System.getenv("KEEP_LOGS") == null) {
        try (Stream<Path> files = Files.list(folder)) {
          for (Path file : files.toList()) {
            Files.delete(file);
          }
        }
        Files.delete(folder);
      }
    }
    Runtime.getRuntime().halt(status);
  }
}
