package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands in for one worker: checks fence numbers, keeps its lease, runs tasks for the time that
 * their specification names ("work=MILLIS"), and lists ends until they are acknowledged.
 */
final class Worker {
  static final int ACCELERATORS = 8;
  private static final long MAXIMUM_LEASE_MILLIS = 6_000;

  private final Fleet fleet;
  final String id;
  final String zone;
  private final String rack;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> lastRuns = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long born;
  private long bootNanos;
  private long fence;
  private long leaseUntilMillis;
  private long lastEnd;
  private long sequence;

  Worker(Fleet fleet, String id, String zone, String rack) {
    this.fleet = fleet;
    this.id = id;
    this.zone = zone;
    this.rack = rack;
    boot();
  }

  /** A run of a task. */
  record Run(String task, int number, long workMillis, long startNanos) {}

  private record End(long number, Run run, String how) {}

  synchronized void boot() {
    born = System.currentTimeMillis();
    bootNanos = System.nanoTime();
    running.clear();
    lastRuns.clear();
    ends.clear();
    fence = 0;
    leaseUntilMillis = 0;
    lastEnd = 0;
    sequence = 0;
  }

  private long clockMillis() {
    return 1_000 + (System.nanoTime() - bootNanos) / 1_000_000;
  }

  /** Returns the entry that the worker writes to the store; the address is filled in on reading. */
  synchronized String entry() {
    ObjectNode entry =
        Store.JSON
            .createObjectNode()
            .put("service", Fleet.SERVICE)
            .put("address", "@" + id)
            .put("zone", zone)
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("coldLeftMs", 0)
            .put("machine", "m-" + id)
            .put("born", born)
            .put("clockMs", clockMillis())
            .put("seq", ++sequence);
    entry
        .putObject("capacity")
        .put("cpu", 32_000)
        .put("memMb", 65_536)
        .put("gpu", ACCELERATORS);
    entry.putArray("labels").add("a").add(rack);
    return entry.toString();
  }

  HttpStandin.Answer serve(int instance, HttpStandin.Call call) throws Exception {
    JsonNode order = Store.JSON.readTree(call.body());
    if (!id.equals(call.target())) {
      return HttpStandin.Answer.json(421, "{}");
    }
    return switch (call.path()) {
      case "/v1/run-start" -> start(instance, order);
      case "/v1/run-stop" -> stop(instance, order);
      case "/v1/hold" -> hold(order);
      default -> HttpStandin.Answer.json(404, "{}");
    };
  }

  private HttpStandin.Answer clock() {
    return HttpStandin.Answer.json(200, "{\"clockMs\":" + clockMillis() + "}");
  }

  private HttpStandin.Answer refused(String reason) {
    return HttpStandin.Answer.json(
        409, "{\"clockMs\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
  }

  private boolean isFenced(JsonNode order) {
    long token = order.path("fence").asLong();
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void extendLease(JsonNode order) {
    if (order.has("untilMs")) {
      long limit = clockMillis() + MAXIMUM_LEASE_MILLIS;
      leaseUntilMillis =
          Math.max(leaseUntilMillis, Math.min(limit, order.path("untilMs").asLong()));
    }
  }

  private synchronized HttpStandin.Answer start(int instance, JsonNode order) {
    advance();
    if (isFenced(order)) {
      return refused("fence");
    }
    extendLease(order);
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    Run current = running.get(task);
    if (current != null && current.number == number) {
      return clock();
    }
    if (number <= lastRuns.getOrDefault(task, 0)) {
      return refused("old");
    }
    if (order.path("untilMs").asLong() <= clockMillis()) {
      return refused("late");
    }
    String specification = order.path("spec").asText();
    long workMillis = Long.parseLong(specification.replaceAll(".*work=(\\d+).*", "$1"));
    Run run = new Run(task, number, workMillis, System.nanoTime());
    running.put(task, run);
    lastRuns.put(task, number);
    fleet.started(this, run, instance, fence);
    return clock();
  }

  private synchronized HttpStandin.Answer stop(int instance, JsonNode order) {
    advance();
    if (isFenced(order)) {
      return refused("fence");
    }
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    lastRuns.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number <= number) {
      end(run, "stopped");
    }
    return clock();
  }

  private HttpStandin.Answer hold(JsonNode order) throws InterruptedException {
    synchronized (this) {
      advance();
      if (isFenced(order)) {
        return refused("fence");
      }
      extendLease(order);
      long acknowledged = order.path("ackedUpto").asLong();
      for (End end : List.copyOf(ends)) {
        if (end.number <= acknowledged) {
          ends.remove(end);
          fleet.acknowledged(this, end.run, end.how);
        }
      }
      long endNanos = System.nanoTime() + order.path("waitMs").asLong() * 1_000_000;
      while (ends.isEmpty() && System.nanoTime() < endNanos) {
        wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
      }
      return HttpStandin.Answer.json(200, listing().toString());
    }
  }

  private ObjectNode listing() {
    ObjectNode body =
        Store.JSON.createObjectNode().put("clockMs", clockMillis()).put("born", born);
    ArrayNode tasks = body.putArray("runningTasks");
    for (Run run : running.values()) {
      long percent = (System.nanoTime() - run.startNanos) / 10_000 / Math.max(1, run.workMillis);
      tasks.addArray().add(run.task).add(run.number).add("").add(Math.min(100, percent)).add(0);
    }
    ArrayNode ended = body.putArray("ended");
    for (End end : ends) {
      ended.addArray().add(end.number).add(end.run.task).add(end.run.number).add(end.how).add("");
    }
    return body;
  }

  /** Ends the runs that are done, and all runs once the lease has run out. */
  synchronized void advance() {
    for (Run run : List.copyOf(running.values())) {
      if (leaseUntilMillis <= clockMillis()) {
        end(run, "lapsed");
      } else if (System.nanoTime() - run.startNanos >= run.workMillis * 1_000_000) {
        end(run, "done");
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    ends.add(new End(++lastEnd, run, how));
    fleet.ended(this, run, how);
    notifyAll();
  }
}
