import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for the workers of a service. The text of a job says what its tasks do: "ms=3000" for
 * how long each works, and "gang=4" for how many members work together. One lock guards all.
 */
final class Fleet implements AutoCloseable {
  static final long HOLD_MAX_MILLIS = 6_000;
  static final long STOP_MILLIS = 200;
  static final long GANG_MILLIS = 3_000;
  static final long HEARTBEAT_MILLIS = 1_500;
  static final int LISTED_ENDS = 500;
  static final String SERVICE = "service-a";

  private final Store store;
  private final Journal journal;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final ScheduledExecutorService ticker =
      Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());

  /** How long a worker takes until it begins a task that it was told to start. */
  volatile long startMillis;

  /** Everything that began or ended, in order, for the checks of a case. */
  final List<Run> runs = new ArrayList<>();

  /** A run of a task on a worker. Times are in milliseconds of the case. */
  static final class Run {
    String task;
    int number;
    Worker worker;
    String spec;
    long startedMillis;
    long endedMillis = -1;
    long endNumber;
    String how = "";
    long listedMillis = -1;
    long notedMillis = -1;
    long workedMillis;
    long stopAtMillis = -1;
    boolean lapsedBeforeNoted;

    boolean active() {
      return endedMillis < 0;
    }
  }

  Fleet(Store store, Journal journal) {
    this.store = store;
    this.journal = journal;
  }

  synchronized Worker add(String id, String zone, String rack) {
    Worker worker = new Worker(id, zone, rack);
    workers.put(id, worker);
    return worker;
  }

  synchronized void start() {
    workers.values().forEach(Worker::register);
    ticker.scheduleAtFixedRate(this::tick, 5, 5, TimeUnit.MILLISECONDS);
    ticker.scheduleAtFixedRate(
        this::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  synchronized Worker[] workers() {
    return workers.values().toArray(new Worker[0]);
  }

  synchronized List<Run> runs() {
    return new ArrayList<>(runs);
  }

  synchronized long active() {
    return runs.stream().filter(Run::active).count();
  }

  synchronized long ended(String how) {
    return runs.stream().filter(run -> run.how.equals(how)).count();
  }

  private synchronized void heartbeat() {
    workers.values().forEach(Worker::register);
  }

  private static long number(String spec, String name, long otherwise) {
    for (String word : spec.split(" ")) {
      if (word.startsWith(name + "=")) {
        return Long.parseLong(word.substring(name.length() + 1));
      }
    }
    return otherwise;
  }

  /** The part of a task's name that the members of a gang share. */
  private static String step(String task) {
    return task.substring(0, task.lastIndexOf('.'));
  }

  private long lastTickMillis = Journal.now();

  private synchronized void tick() {
    try {
      long now = Journal.now();
      long elapsed = now - lastTickMillis;
      lastTickMillis = now;
      Map<String, Integer> present = new LinkedHashMap<>();
      for (Worker worker : workers.values()) {
        for (Run run : worker.running.values()) {
          present.merge(step(run.task) + "/" + run.number, 1, Integer::sum);
        }
      }
      for (Worker worker : workers.values()) {
        worker.expireLease();
        for (Run run : new ArrayList<>(worker.running.values())) {
          if (run.active()) {
            advance(run, now, elapsed, present);
          }
        }
      }
    } catch (RuntimeException failure) {
      failure.printStackTrace();
    }
  }

  private void advance(Run run, long now, long elapsed, Map<String, Integer> present) {
    if (run.stopAtMillis >= 0 && now >= run.stopAtMillis) {
      end(run, "stopped");
      breakGang(run);
      return;
    }
    long gang = number(run.spec, "gang", 1);
    if (present.getOrDefault(step(run.task) + "/" + run.number, 0) >= gang) {
      run.workedMillis += elapsed;
    } else if (run.workedMillis == 0 && now - run.startedMillis > GANG_MILLIS) {
      end(run, "alone");
      breakGang(run);
      return;
    }
    if (run.number == 1 && run.workedMillis >= number(run.spec, "fails", Long.MAX_VALUE)) {
      end(run, "failed");
      breakGang(run);
      return;
    }
    if (run.workedMillis >= number(run.spec, "ms", 1_000)) {
      end(run, "done");
      if (gang > 1) {
        members(run).forEach(member -> end(member, "done"));
      }
    }
  }

  /** The progress of a run; a task that lasts is at work, at 100, once it has started up. */
  private static long percent(Run run) {
    long startup = number(run.spec, "startup", 0);
    return startup > 0
        ? Math.min(100, 100 * run.workedMillis / startup)
        : Math.min(99, 100 * run.workedMillis / Math.max(1, number(run.spec, "ms", 1_000)));
  }

  private List<Run> members(Run run) {
    List<Run> members = new ArrayList<>();
    for (Worker worker : workers.values()) {
      for (Run other : worker.running.values()) {
        if (other != run
            && step(other.task).equals(step(run.task))
            && other.number == run.number) {
          members.add(other);
        }
      }
    }
    return members;
  }

  private void breakGang(Run run) {
    if (number(run.spec, "gang", 1) > 1) {
      members(run).forEach(member -> end(member, "broken"));
    }
  }

  private void end(Run run, String how) {
    Worker worker = run.worker;
    worker.running.remove(run.task);
    run.endedMillis = Journal.now();
    run.how = how;
    run.endNumber = ++worker.lastEnd;
    worker.ended.add(run);
    journal.line("%s: run %d of %s ended %s (%d)", worker.id, run.number, run.task, how,
        run.endNumber);
    notifyAll();
  }

  /** One worker. Its clock starts at 1000 with its boot. */
  final class Worker {
    final String id;
    private final String zone;
    private final String rack;
    private final Http http;
    private final long born = System.currentTimeMillis();
    private final long bornMillis = Journal.now();
    private boolean isCut;
    private int cuts;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> lastNumbers = new LinkedHashMap<>();
    private final List<Run> ended = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long leaseUntil;
    private boolean leaseHeld;
    private long heartbeats;

    private Worker(String id, String zone, String rack) {
      this.id = id;
      this.zone = zone;
      this.rack = rack;
      this.http = new Http(this::answer);
    }

    /** Cuts the worker off from all instances: no call reaches it, and no answer leaves it. */
    void cut() {
      synchronized (Fleet.this) {
        isCut = true;
        journal.say("%s is cut off", id);
      }
    }

    /** Ends the cut; the channels that it held up are reset. */
    void heal() {
      synchronized (Fleet.this) {
        isCut = false;
        cuts++;
        journal.say("%s is reached again", id);
        Fleet.this.notifyAll();
      }
    }

    /** Waits for the end of a cut; returns whether there was one since a count was read. */
    private boolean wasCut(int cutsBefore) throws InterruptedException {
      while (isCut) {
        Fleet.this.wait();
      }
      return cuts != cutsBefore;
    }

    private long clock() {
      return Journal.now() - bornMillis + 1_000;
    }

    private void register() {
      heartbeats++;
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("service", SERVICE);
      entry.put("address", http.address());
      entry.put("zone", zone);
      entry.put("version", "v1");
      entry.put("slots", 8);
      entry.put("state", "ready");
      entry.put("coldLeftMs", 0);
      entry.put("capacity", Map.of("cpu", 32_000, "memMb", 65_536, "gpu", 8));
      entry.put("labels", List.of("a", rack));
      entry.put("clockMs", clock());
      entry.put("born", born);
      entry.put("seq", heartbeats);
      store.put("keyed.servers", id, entry);
    }

    private void expireLease() {
      if (leaseHeld && leaseUntil <= clock()) {
        leaseHeld = false;
        for (Run run : ended) {
          run.lapsedBeforeNoted = true;
        }
        for (Run run : new ArrayList<>(running.values())) {
          end(run, "lapsed");
        }
      }
    }

    private Http.Response answer(
        String path, Map<String, String> query, HttpExchange exchange, byte[] body)
        throws InterruptedException {
      if (path.equals("/health")) {
        return Http.Response.json(200, Map.of());
      }
      if (!id.equals(exchange.getRequestHeaders().getFirst("X-Target-Instance"))) {
        return Http.Response.json(421, Map.of());
      }
      Map<String, Object> order = Json.object(body);
      if (path.equals("/v1/run-start") && startMillis > 0) {
        Thread.sleep(startMillis);
      }
      synchronized (Fleet.this) {
        int cutsBefore = cuts;
        if (wasCut(cutsBefore)) {
          return Http.Response.lost();
        }
        Http.Response response = carryOut(path, order);
        return wasCut(cutsBefore) ? Http.Response.lost() : response;
      }
    }

    private Http.Response carryOut(String path, Map<String, Object> order)
        throws InterruptedException {
      long given = (long) order.getOrDefault("fence", 0L);
      if (given < fence) {
        return refused("fence");
      }
      fence = given;
      return switch (path) {
        case "/v1/run-start" -> startRun(order);
        case "/v1/run-stop" -> stopRun(order);
        case "/v1/hold" -> hold(order);
        default -> Http.Response.json(404, Map.of());
      };
    }

    private Http.Response refused(String reason) {
      return Http.Response.json(409, Map.of("clockMs", clock(), "reason", reason));
    }

    private void extendLease(Map<String, Object> order) {
      if (order.get("untilMs") instanceof Long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + HOLD_MAX_MILLIS));
        leaseHeld = leaseUntil > clock();
      }
    }

    private Http.Response startRun(Map<String, Object> order) {
      String task = (String) order.get("task");
      int number = (int) (long) order.get("run");
      extendLease(order);
      Run current = running.get(task);
      if (current != null && current.number == number) {
        return Http.Response.json(200, Map.of("clockMs", clock()));
      }
      if (number <= lastNumbers.getOrDefault(task, 0)) {
        return refused("old");
      }
      if ((long) order.get("untilMs") <= clock()) {
        return refused("late");
      }
      Run run = new Run();
      run.task = task;
      run.number = number;
      run.worker = this;
      run.spec = (String) order.get("spec");
      run.startedMillis = Journal.now();
      running.put(task, run);
      runs.add(run);
      lastNumbers.put(task, number);
      journal.line("%s: run %d of %s starts (fence %d)", id, number, task, fence);
      return Http.Response.json(200, Map.of("clockMs", clock()));
    }

    private Http.Response stopRun(Map<String, Object> order) {
      String task = (String) order.get("task");
      int number = (int) (long) order.get("run");
      lastNumbers.merge(task, number, Math::max);
      Run run = running.get(task);
      if (run != null && run.number <= number && run.stopAtMillis < 0) {
        run.stopAtMillis = Journal.now() + STOP_MILLIS / 2;
        journal.line("%s: stop of run %d of %s", id, number, task);
      }
      return Http.Response.json(200, Map.of("clockMs", clock()));
    }

    private Http.Response hold(Map<String, Object> order) throws InterruptedException {
      extendLease(order);
      long noted = (long) order.getOrDefault("ackedUpto", 0L);
      for (Run run : new ArrayList<>(ended)) {
        if (run.endNumber <= noted) {
          run.notedMillis = Journal.now();
          ended.remove(run);
          journal.line("%s: end %d noted (%s)", id, run.endNumber, run.task);
        }
      }
      long until = Journal.now() + (long) order.getOrDefault("waitMs", 0L);
      while (ended.isEmpty() && Journal.now() < until) {
        Fleet.this.wait(Math.max(1, until - Journal.now()));
      }
      List<Object> rows = new ArrayList<>();
      for (Run run : running.values()) {
        rows.add(List.of(run.task, run.number, "", percent(run), 0));
      }
      List<Object> ends = new ArrayList<>();
      for (Run run : ended.subList(0, Math.min(LISTED_ENDS, ended.size()))) {
        ends.add(List.of(run.endNumber, run.task, run.number, run.how, ""));
        if (run.listedMillis < 0) {
          run.listedMillis = Journal.now();
        }
      }
      journal.line("%s: hold, %d running, %d of %d ends listed", id, rows.size(), ends.size(),
          ended.size());
      Map<String, Object> answer = new LinkedHashMap<>();
      answer.put("clockMs", clock());
      answer.put("born", born);
      answer.put("runningTasks", rows);
      answer.put("ended", ends);
      return Http.Response.json(200, answer);
    }
  }

  @Override
  public void close() {
    ticker.shutdownNow();
    workers.values().forEach(worker -> worker.http.close());
  }
}
