package io.dragonflyturn.measure.path;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.JobStatus;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.scenario.ChildProcess;
import io.dragonflyturn.standin.ToolArguments;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Measures a deployment of running processes: request latency and throughput, job start time,
 * configuration propagation, and idle resource usage.
 */
public final class PathMain {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
  private static final int CONNECTION_COUNT = 60;
  private static final int WARM_UP_REQUESTS = 300;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final int JOB_COUNT = 50;

  @Option(name = "--instances", usage = "number of instances")
  private int instances = 7;

  @Option(name = "--workers", usage = "number of workers")
  private int workers = 30;

  @Option(name = "--separate", usage = "run entry and scheduler as separate processes")
  private boolean separate;

  @Option(name = "--requests", usage = "number of sequential requests per mode")
  private int requests = 1_000;

  @Option(name = "--idle-seconds", usage = "duration of the idle measurement, in seconds")
  private int idleSeconds = 20;

  @Option(name = "--json", usage = "print one JSON object")
  private boolean json;

  private PathMain() {}

  /** Runs the measurement and prints its result. */
  @SuppressWarnings("SystemOut") // The tool prints its result.
  public static void main(String[] arguments) throws Exception {
    PathMain main = new PathMain();
    ToolArguments.read(main, arguments);
    PathResult result = main.measure();
    if (main.json) {
      System.out.println(JsonCodec.text(result));
    } else {
      System.out.println(
          JsonCodec.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(result));
    }
    System.exit(0);
  }

  private PathResult measure() throws InterruptedException {
    try (PathDeployment deployment = new PathDeployment(instances, workers, separate);
        LoadClient load = new LoadClient(PathDeployment.CUSTOMER_TOKEN);
        Dragonflyturn operator =
            Dragonflyturn.connect(deployment.entries(), PathDeployment.OPERATOR_TOKEN);
        Dragonflyturn customer =
            Dragonflyturn.connect(deployment.entries(), PathDeployment.CUSTOMER_TOKEN)) {
      configure(operator);
      URI entry = deployment.entries().getFirst();
      String worker = deployment.workers().getFirst();
      Thread.sleep(Duration.ofSeconds(5));
      IdleUsage idle = measureIdleUsage(deployment.daemons());
      load.measureLatencies(worker, entry, WARM_UP_REQUESTS);
      Map<LoadClient.SendMode, Histogram> times = load.measureLatencies(worker, entry, requests);
      double perSecond =
          load.throughput(deployment.entries(), CONNECTION_COUNT, Duration.ofSeconds(10));
      Histogram starts = measureStartMillis(customer);
      double configurationMillis = measureConfigurationMillis(deployment, operator);
      return result(
          times,
          perSecond,
          starts,
          configurationMillis,
          idle,
          probeAll(deployment.daemons(), ProcessProbe::residentMegabytes));
    }
  }

  static void configure(Dragonflyturn operator) throws InterruptedException {
    List<FailureDomain> domains =
        PathDeployment.DOMAINS.stream()
            .map(name -> new FailureDomain(name, "main", ServiceState.IN_SERVICE, 0, 0, Map.of()))
            .toList();
    Configuration configuration =
        new Configuration(
            List.of(new Customer("derwent", List.of(), 0, Map.of())), domains, Map.of(), List.of());
    for (int attempt = 0; attempt < 200; attempt++) {
      try {
        operator.apply(operator.configuration().version(), configuration);
        return;
      } catch (DragonflyturnException starting) {
        Thread.sleep(Duration.ofMillis(100));
      }
    }
    throw new IllegalStateException("The configuration was not accepted before the timeout");
  }

  private IdleUsage measureIdleUsage(Map<String, ChildProcess> daemons)
      throws InterruptedException {
    Map<String, Double> processorBefore = probeAll(daemons, ProcessProbe::processorSeconds);
    Map<String, Double> bytesBefore = probeAll(daemons, ProcessProbe::bytesMoved);
    Thread.sleep(Duration.ofSeconds(idleSeconds));
    Map<String, Double> processor = probeAll(daemons, ProcessProbe::processorSeconds);
    Map<String, Double> bytes = probeAll(daemons, ProcessProbe::bytesMoved);
    processor.replaceAll(
        (name, after) -> (after - processorBefore.getOrDefault(name, 0.0)) * 100 / idleSeconds);
    bytes.replaceAll((name, after) -> (after - bytesBefore.getOrDefault(name, 0.0)) / idleSeconds);
    return new IdleUsage(processor, bytes, probeAll(daemons, ProcessProbe::residentMegabytes));
  }

  private static Map<String, Double> probeAll(
      Map<String, ChildProcess> daemons, ToDoubleFunction<Long> probe) {
    Map<String, Double> values = new TreeMap<>();
    daemons.forEach((name, process) -> values.put(name, probe.applyAsDouble(process.pid())));
    return values;
  }

  private static Histogram measureStartMillis(Dragonflyturn customer) throws InterruptedException {
    List<String> jobs = new ArrayList<>();
    for (int index = 0; index < JOB_COUNT; index++) {
      jobs.add(customer.submit(job(index)));
      Thread.sleep(Duration.ofMillis(100));
    }
    Histogram starts = new Histogram(3);
    for (String jobId : jobs) {
      JobStatus status = customer.status(jobId);
      while (status.firstStartedAtMillis() == 0) {
        Thread.sleep(POLL_INTERVAL);
        status = customer.status(jobId);
      }
      starts.recordValue(status.firstStartedAtMillis() - status.submittedAtMillis());
    }
    return starts;
  }

  private static JobSpecification job(int index) {
    return new JobSpecification(
        "path-" + index,
        "derwent",
        new Shape(2, 2, Span.REGION),
        index % 2 == 0 ? Urgency.URGENT : Urgency.NORMAL,
        true,
        true,
        1,
        Map.of("work-seconds", "0.5"));
  }

  private static double measureConfigurationMillis(
      PathDeployment deployment, Dragonflyturn operator) throws InterruptedException {
    List<Dragonflyturn> clients = new ArrayList<>();
    deployment
        .entries()
        .forEach(
            entry ->
                clients.add(Dragonflyturn.connect(List.of(entry), PathDeployment.OPERATOR_TOKEN)));
    double slowest = 0;
    for (int round = 0; round < 10; round++) {
      var current = operator.configuration();
      long version = operator.apply(current.version(), current.configuration());
      long accepted = System.nanoTime();
      for (Dragonflyturn entry : clients) {
        while (entry.configuration().version() < version) {
          Thread.sleep(POLL_INTERVAL);
        }
      }
      slowest = Math.max(slowest, (System.nanoTime() - accepted) / 1e6);
    }
    clients.forEach(Dragonflyturn::close);
    return slowest;
  }

  private PathResult result(
      Map<LoadClient.SendMode, Histogram> times,
      double perSecond,
      Histogram starts,
      double configurationMillis,
      IdleUsage idle,
      Map<String, Double> loadedMegabytes) {
    Map<String, Double> p50 = percentiles(times, 50);
    Map<String, Double> p99 = percentiles(times, 99);
    return new PathResult(
        separate ? "separate" : "instance",
        instances,
        workers,
        p50,
        p99,
        ratio(p50),
        ratio(p99),
        perSecond,
        starts.getValueAtPercentile(50),
        starts.getValueAtPercentile(99),
        configurationMillis,
        idle.megabytes,
        loadedMegabytes,
        idle.processorPercent,
        idle.bytesPerSecond);
  }

  private static double ratio(Map<String, Double> times) {
    double direct = times.getOrDefault(LoadClient.SendMode.DIRECT.name(), 0.0);
    return times.getOrDefault(LoadClient.SendMode.IDEMPOTENT.name(), 0.0) / direct;
  }

  private static Map<String, Double> percentiles(
      Map<LoadClient.SendMode, Histogram> times, double percentile) {
    Map<String, Double> values = new TreeMap<>();
    new EnumMap<>(times)
        .forEach(
            (mode, histogram) ->
                values.put(
                    mode.name(), histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI));
    return values;
  }

  private record IdleUsage(
      Map<String, Double> processorPercent,
      Map<String, Double> bytesPerSecond,
      Map<String, Double> megabytes) {}
}
