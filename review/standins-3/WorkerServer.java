import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of one worker: runs tasks for the time that the job's specification names ("ms=2500"),
 * under leases and fence numbers, and registers itself in the store.
 */
final class WorkerServer {
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final int HEARTBEATS_BEFORE_REMOVAL = 3;
  private static final int LISTED_ENDS = 500;

  /** How long a task runs on a worker that fails all that it starts. */
  private static final long FAILS_AFTER_MILLIS = 300;

  /** How long a worker without power leaves a call open. */
  private static final long SILENCE_MILLIS = 20_000;


  final String id;
  private final String address;
  private final String zone;
  private final String service;
  private final StoreServer store;
  private final Record record;
  private final long holdMaxMillis;
  private final Judge judge;
  private int port;
  private HttpServer server;
  private boolean up;
  private Kind kind;
  private long bootNanos;
  private long born;
  private long seq;
  private long fence;
  private long leaseUntil;
  private long endNumber;
  private long lastHeartbeatMillis;
  private boolean registered;
  private volatile boolean grey;
  private volatile String lateTask = "";
  private volatile long lateMillis;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> closedRuns = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  /** What a boot of the worker offers. */
  record Kind(int cpu, int memMb, int gpu, List<String> labels) {}

  /** A run of a task. */
  record Run(String task, int number, long startedMillis, long workMillis, JsonNode order) {}

  private record End(long number, Run run, String how) {}

  /** Is told what this worker runs. */
  interface Judge {
    /** Called when a run has begun. */
    default void started(WorkerServer worker, Run run) {}

    /** Called when a run is over; how is "crash" if the worker went down. */
    default void ended(WorkerServer worker, Run run, String how) {}

    /** Called when an end was acknowledged. */
    default void acknowledged(WorkerServer worker, Run run, String how) {}
  }

  WorkerServer(
      String id,
      String address,
      String zone,
      String service,
      Kind kind,
      long holdMaxMillis,
      StoreServer store,
      Record record,
      Judge judge) {
    this.id = id;
    this.address = address;
    this.zone = zone;
    this.service = service;
    this.kind = kind;
    this.holdMaxMillis = holdMaxMillis;
    this.store = store;
    this.record = record;
    this.judge = judge;
  }

  synchronized Kind kind() {
    return kind;
  }

  synchronized List<Run> running() {
    return List.copyOf(running.values());
  }

  synchronized boolean isRegistered() {
    return registered;
  }

  synchronized boolean isUp() {
    return up;
  }

  /** Takes the power from the worker: all that it runs is gone, and it answers nothing any more. */
  synchronized void losePower() {
    up = false;
    record.line(id, "loses power with " + running.size() + " tasks");
    for (Run run : running.values()) {
      judge.ended(this, run, "crash");
    }
    running.clear();
    notifyAll();
  }

  /** Starts the worker, or starts it again under its id as a machine of the given kind. */
  synchronized void boot(Kind next) {
    kind = next;
    bootNanos = System.nanoTime();
    born = System.currentTimeMillis();
    seq = 0;
    fence = 0;
    leaseUntil = 0;
    endNumber = 0;
    closedRuns.clear();
    ends.clear();
    up = true;
    if (server != null) {
      server.stop(0);
    }
    try {
      server = HttpServer.create(new InetSocketAddress(address, port), 256);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    port = server.getAddress().getPort();
    server.setExecutor(threads);
    server.createContext("/", this::serve);
    server.start();
    record.line(id, "boots, born " + born + ", offers " + kind);
    heartbeat();
  }

  private long clock() {
    return (System.nanoTime() - bootNanos) / 1_000_000 + 1_000;
  }

  private void heartbeat() {
    lastHeartbeatMillis = record.now();
    seq++;
    ObjectNode entry = StoreServer.JSON.createObjectNode();
    entry
        .put("service", service)
        .put("address", address + ":" + port)
        .put("zone", zone)
        .put("version", "v1")
        .put("slots", 8)
        .put("state", "ready")
        .put("coldLeftMs", 0)
        .put("born", born)
        .put("clockMs", clock())
        .put("seq", seq);
    entry
        .putObject("capacity")
        .put("cpu", kind.cpu)
        .put("memMb", kind.memMb)
        .put("gpu", kind.gpu);
    ArrayNode labels = entry.putArray("labels");
    kind.labels.forEach(labels::add);
    try {
      store.put("keyed.servers", id, StoreServer.JSON.writeValueAsBytes(entry));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    if (!registered) {
      record.line(id, "is registered");
    }
    registered = true;
  }

  /** Lets the worker fail all that it starts, or no more. */
  void setGrey(boolean next) {
    grey = next;
    record.line(id, next ? "fails all that it starts" : "is sound again");
  }

  /** Advances tasks and leases, and keeps the registration up; called every few milliseconds. */
  synchronized void tick() {
    long silentMillis = record.now() - lastHeartbeatMillis;
    if (!up) {
      if (registered && silentMillis > HEARTBEATS_BEFORE_REMOVAL * HEARTBEAT_MILLIS) {
        registered = false;
        store.put("keyed.servers", id, null);
        record.line(id, "its entry is removed");
      }
      return;
    }
    if (silentMillis >= HEARTBEAT_MILLIS) {
      heartbeat();
    }
    for (Run run : List.copyOf(running.values())) {
      if (leaseUntil <= clock()) {
        end(run, "lapsed");
      } else if (grey && record.now() - run.startedMillis >= FAILS_AFTER_MILLIS) {
        end(run, "failed");
      } else if (record.now() - run.startedMillis >= run.workMillis) {
        end(run, "done");
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    closedRuns.merge(run.task, run.number, Math::max);
    endNumber++;
    ends.add(new End(endNumber, run, how));
    record.line(id, "ends " + run.task + " run " + run.number + ": " + how);
    judge.ended(this, run, how);
    notifyAll();
  }

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode order = StoreServer.JSON.readTree(exchange.getRequestBody().readAllBytes());
      String path = exchange.getRequestURI().getPath();
      if (path.equals("/v1/run-start") && order.path("task").asText().startsWith(lateTask)
          && !lateTask.isEmpty()) {
        carryOutLate(path, order);
        return;
      }
      carryOut(exchange, path, order);
    } catch (IOException closed) {
      // The caller is gone, or this worker has crashed.
    } catch (Exception failure) {
      record.line(id, "stand-in failed: " + failure);
    }
  }

  private void carryOut(HttpExchange exchange, String path, JsonNode order) throws Exception {
    String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
    int status = 200;
    boolean silent = false;
    ObjectNode answer = StoreServer.JSON.createObjectNode();
    synchronized (this) {
      if (!up) {
        silent = true;
      } else if (!id.equals(target)) {
        StoreServer.answer(exchange, 421, new byte[0]);
        return;
      } else {
        long life = born;
        String refusal = carryOut(path, order, answer);
        silent = !up || life != born;
        answer.put("clockMs", clock());
        if (refusal != null) {
          status = 409;
          answer.put("reason", refusal);
        }
      }
    }
    if (silent) {
      Thread.sleep(SILENCE_MILLIS);
      return;
    }
    StoreServer.answerJson(exchange, status, answer);
  }

  /** Leaves the start orders of a job unanswered, and carries them out late. */
  void answerLate(String job, long millis) {
    lateMillis = millis;
    lateTask = job;
  }

  private void carryOutLate(String path, JsonNode order) throws Exception {
    record.line(id, "leaves unanswered for " + lateMillis + " ms: " + order);
    Thread.sleep(lateMillis);
    synchronized (this) {
      String refusal = up ? carryOut(path, order, StoreServer.JSON.createObjectNode()) : "down";
      record.line(id, "carries out late: " + order + " -> " + (refusal == null ? "ok" : refusal));
    }
  }

  /** Carries out an order, answered or not; returns the reason of a refusal or null. */
  synchronized String carryOut(String path, JsonNode order, ObjectNode answer) throws Exception {
    long orderFence = order.path("fence").asLong();
    if (orderFence < fence) {
      return "fence";
    }
    fence = orderFence;
    if (order.has("untilMs")) {
      leaseUntil =
          Math.max(leaseUntil, Math.min(order.path("untilMs").asLong(), clock() + holdMaxMillis));
    }
    return switch (path) {
      case "/v1/run-start" -> start(order);
      case "/v1/run-stop" -> stop(order);
      case "/v1/hold" -> hold(order, answer);
      default -> "unknown";
    };
  }

  private String start(JsonNode order) {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    Run present = running.get(task);
    if (present != null && present.number == number) {
      return null;
    }
    if (number <= closedRuns.getOrDefault(task, 0) || present != null && number < present.number) {
      return "old";
    }
    if (order.path("untilMs").asLong() <= clock()) {
      return "late";
    }
    String spec = order.path("spec").asText();
    long workMillis = Long.parseLong(spec.replaceAll(".*ms=([0-9]+).*", "$1"));
    Run run = new Run(task, number, record.now(), workMillis, order);
    running.put(task, run);
    record.line(id, "starts " + task + " run " + number);
    judge.started(this, run);
    return null;
  }

  private String stop(JsonNode order) {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    closedRuns.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number <= number) {
      end(run, "stopped");
    }
    return null;
  }

  private String hold(JsonNode order, ObjectNode answer) throws InterruptedException {
    long acknowledged = order.path("ackedUpto").asLong();
    for (End end : List.copyOf(ends)) {
      if (end.number <= acknowledged) {
        ends.remove(end);
        judge.acknowledged(this, end.run, end.how);
      }
    }
    long life = born;
    long deadline = record.now() + order.path("waitMs").asLong();
    while (up && born == life && ends.isEmpty() && record.now() < deadline) {
      wait(Math.max(1, deadline - record.now()));
    }
    answer.put("born", born);
    ArrayNode runs = answer.putArray("runningTasks");
    for (Run run : running.values()) {
      long percent = Math.min(99, (record.now() - run.startedMillis) * 100 / run.workMillis);
      runs.addArray().add(run.task).add(run.number).add("").add(percent).add(0);
    }
    ArrayNode list = answer.putArray("ended");
    for (End end : ends.subList(0, Math.min(LISTED_ENDS, ends.size()))) {
      list.addArray()
          .add(end.number)
          .add(end.run.task)
          .add(end.run.number)
          .add(end.how)
          .add("");
    }
    return null;
  }
}
