package io.dragonflyturn.measure.state;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dragonflyturn.internal.log.InMemoryPlatformLog;
import io.dragonflyturn.internal.log.NanosecondClock;
import io.dragonflyturn.internal.log.PeerLog;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.log.ReplicaSettings;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.log.SnapshotSettings;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Measures how the apply time, the snapshot size, the start time, and the heap usage of the control
 * state grow with the number of running tasks. Each size is measured in a separate process.
 */
public final class StateMain {
  private static final List<Integer> TASK_COUNTS = List.of(1000, 4000, 9500);
  private static final int BATCH_RECORDS = 200;
  private static final int REPETITIONS = 5;
  private static final double NANOSECONDS_PER_MICROSECOND = 1e3;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
  private static final String CHILD_HEAP = "-Xmx512m";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Has the same encoding as the batches of the control stream. */
  private record Batch(List<Envelope> envelopes) {}

  @Option(name = "--json", usage = "print one JSON object")
  private boolean json;

  @Option(name = "--tasks", usage = "number of running tasks to measure in this process")
  private int tasks;

  private StateMain() {}

  /** Runs the measurement and prints its result. */
  public static void main(String[] arguments) throws Exception {
    StateMain measurement = new StateMain();
    CmdLineParser parser = new CmdLineParser(measurement);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException invalid) {
      System.err.println(invalid.getMessage());
      parser.printUsage(System.err);
      System.exit(1);
    }
    measurement.run(System.out);
  }

  private void run(PrintStream output) throws Exception {
    if (tasks > 0) {
      output.println(JSON.writeValueAsString(measure(tasks)));
      System.exit(0);
    }
    List<StateFigures> figures = new ArrayList<>();
    for (int size : TASK_COUNTS) {
      figures.add(measureInProcess(size));
    }
    print(figures, output);
  }

  private void print(List<StateFigures> figures, PrintStream output) throws IOException {
    Map<String, Double> slopes = new LinkedHashMap<>();
    slopes.put("snapshotBytesPerTask", slope(figures, StateFigures::snapshotBytes));
    slopes.put("startMicrosecondsPerTask", 1000 * slope(figures, StateFigures::startMilliseconds));
    slopes.put("heapBytesPerTask", slope(figures, StateFigures::heapBytes));
    if (json) {
      output.println(JSON.writeValueAsString(Map.of("sizes", figures, "slopes", slopes)));
      return;
    }
    figures.forEach(output::println);
    output.println(slopes);
  }

  private static StateFigures measureInProcess(int size) throws Exception {
    Process child =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                CHILD_HEAP,
                "-cp",
                System.getProperty("java.class.path"),
                StateMain.class.getName(),
                "--tasks",
                Integer.toString(size))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    String line = new String(child.getInputStream().readAllBytes()).strip();
    int code = child.waitFor();
    if (code != 0) {
      throw new IllegalStateException("The measurement process exited with status " + code + ".");
    }
    return JSON.readValue(line.substring(line.indexOf('{')), StateFigures.class);
  }

  private static StateFigures measure(int size) throws InterruptedException {
    List<Envelope> records = StateRecords.runningTasks(size);
    InMemoryPlatformLog log = new InMemoryPlatformLog();
    long logBytes = fill(log, records);
    byte[] snapshot = compactToSnapshot(log);
    double start = startMilliseconds(log);
    double apply = applyMicroseconds(records);
    double snapshotMillis = snapshotMilliseconds(snapshot);
    return new StateFigures(
        size,
        records.size(),
        (double) logBytes / records.size(),
        apply,
        snapshot.length,
        (double) snapshot.length / SnapshotSettings.of(0).interval().toSeconds(),
        snapshotMillis,
        start,
        heapBytes(snapshot));
  }

  private static long fill(InMemoryPlatformLog log, List<Envelope> records) {
    long bytes = 0;
    for (int from = 0; from < records.size(); from += BATCH_RECORDS) {
      List<Envelope> batch = records.subList(from, Math.min(records.size(), from + BATCH_RECORDS));
      byte[] content = MessagePackCodec.encode(new Batch(batch));
      log.append(PlatformLog.CONTROL_STREAM, content, Duration.ofSeconds(1));
      bytes += content.length;
    }
    return bytes;
  }

  /** Makes a replica take a snapshot, expires all records, and returns the encoded snapshot. */
  private static byte[] compactToSnapshot(InMemoryPlatformLog log) throws InterruptedException {
    MetricRegistry metrics = new MetricRegistry();
    SnapshotSettings immediate =
        new SnapshotSettings(
            Duration.ZERO, 1, Duration.ZERO, SnapshotSettings.of(0).chunkBytes(), 1);
    try (ReplicatedState taker = replica("taker", immediate, log, metrics)) {
      taker.start();
      while (metrics.counter("snapshots.taken").getCount() == 0) {
        Thread.sleep(1);
      }
    }
    byte[] content;
    try (ReplicatedState reader = replica("reader", noSnapshots(), log, new MetricRegistry())) {
      startAndCatchUp(reader);
      content = reader.read(state -> state.snapshot().encode());
    }
    log.expire(PlatformLog.CONTROL_STREAM, log.end(PlatformLog.CONTROL_STREAM));
    return content;
  }

  private static double startMilliseconds(InMemoryPlatformLog log) throws InterruptedException {
    try (ReplicatedState fresh = replica("fresh", noSnapshots(), log, new MetricRegistry())) {
      long startNanos = System.nanoTime();
      startAndCatchUp(fresh);
      return (System.nanoTime() - startNanos) / NANOSECONDS_PER_MILLISECOND;
    }
  }

  private static void startAndCatchUp(ReplicatedState replica) throws InterruptedException {
    replica.start();
    while (!replica.hasCaughtUp()) {
      Thread.sleep(1);
    }
  }

  private static double applyMicroseconds(List<Envelope> records) {
    double best = Double.MAX_VALUE;
    for (int repetition = 0; repetition < REPETITIONS; repetition++) {
      ControlState state = new ControlState(StateSettings.DEFAULT);
      long startNanos = System.nanoTime();
      for (int index = 0; index < records.size(); index++) {
        state.apply(index / BATCH_RECORDS, records.get(index));
      }
      double each = (System.nanoTime() - startNanos) / NANOSECONDS_PER_MICROSECOND / records.size();
      best = Math.min(best, each);
    }
    return best;
  }

  private static double snapshotMilliseconds(byte[] content) {
    ControlState state = ControlState.restore(StateSettings.DEFAULT, StateSnapshot.decode(content));
    long startNanos = System.nanoTime();
    byte[] encodedAgain = state.snapshot().encode();
    long nanoseconds = System.nanoTime() - startNanos;
    if (encodedAgain.length != content.length) {
      throw new IllegalStateException("The restored state differs in its encoded size.");
    }
    return nanoseconds / NANOSECONDS_PER_MILLISECOND;
  }

  private static long heapBytes(byte[] content) {
    long before = usedHeap();
    ControlState state = ControlState.restore(StateSettings.DEFAULT, StateSnapshot.decode(content));
    long after = usedHeap();
    if (state.jobs().isEmpty()) {
      throw new IllegalStateException("The state is empty.");
    }
    return after - before;
  }

  private static long usedHeap() {
    for (int round = 0; round < REPETITIONS; round++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static ReplicatedState replica(
      String writer, SnapshotSettings snapshots, PlatformLog log, MetricRegistry metrics) {
    ReplicaSettings defaults = ReplicaSettings.of(writer, "region");
    ReplicaSettings settings =
        new ReplicaSettings(
            defaults.writer(),
            defaults.region(),
            defaults.readWait(),
            defaults.readInterval(),
            defaults.readTimeout(),
            defaults.appendTimeout(),
            defaults.proposalTimeout(),
            defaults.queueCapacity(),
            defaults.maxBatchRecords(),
            defaults.maxBatchBytes(),
            defaults.appendsPerSecond(),
            defaults.appendBurst(),
            defaults.retryDelay(),
            defaults.seed(),
            snapshots);
    return new ReplicatedState(
        log,
        PeerLog.NONE,
        settings,
        StateSettings.DEFAULT,
        Clock.systemUTC(),
        NanosecondClock.SYSTEM,
        metrics);
  }

  private static SnapshotSettings noSnapshots() {
    return new SnapshotSettings(
        Duration.ofDays(365_000), Long.MAX_VALUE, Duration.ofDays(1), 1 << 18, 1);
  }

  private static double slope(List<StateFigures> figures, ToDoubleFunction<StateFigures> value) {
    double meanTasks = figures.stream().mapToDouble(StateFigures::runningTasks).average().orElse(0);
    double meanValue = figures.stream().mapToDouble(value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (StateFigures each : figures) {
      double deviation = each.runningTasks() - meanTasks;
      covariance += deviation * (value.applyAsDouble(each) - meanValue);
      variance += deviation * deviation;
    }
    return covariance / variance;
  }
}
