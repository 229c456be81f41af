package io.dragonflyturn.measure.capacity;

import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.Envelope;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;

/** Measures how the encoded size and codec time of control-plane messages grow. */
public final class CapacityMain {
  private static final int ROUND_TRIPS = 200;
  private static final double NANOS_PER_MICRO = 1_000.0;
  private static final List<Integer> WORKER_COUNTS = List.of(100, 400, 1_300);
  private static final List<Integer> TASK_COUNTS = List.of(1, 4, 8);

  private CapacityMain() {}

  /** Prints one line per message type, or JSON with {@code --json}. */
  @SuppressWarnings("SystemOut") // The tool prints its result.
  public static void main(String[] arguments) {
    List<Slope> slopes = slopes();
    if (List.of(arguments).contains("--json")) {
      System.out.println(JsonCodec.text(slopes));
      return;
    }
    for (Slope slope : slopes) {
      System.out.printf(
          Locale.ROOT,
          "%-28s %-22s %8.1f B each %8.0f B base %8.2f us each   %s%n",
          slope.message(),
          slope.grows(),
          slope.bytesEach(),
          slope.bytesBase(),
          slope.microsEach(),
          slope.points());
    }
  }

  private static List<Slope> slopes() {
    List<Slope> slopes = new ArrayList<>();
    slopes.add(
        messagePackSlope(
            "whole routing view", "workers", WORKER_COUNTS, SampleMessages::view, Message.class));
    slopes.add(
        messagePackSlope(
            "heartbeat",
            "entries of a replica",
            List.of(1, 2, 4),
            SampleMessages::heartbeat,
            Message.class));
    slopes.add(
        messagePackSlope(
            "slot allotment", "workers", WORKER_COUNTS, SampleMessages::credits, Envelope.class));
    slopes.add(
        messagePackSlope(
            "configuration change",
            "customers",
            List.of(4, 16, 45),
            SampleMessages::configuration,
            Envelope.class));
    slopes.add(
        messagePackSlope(
            "records of a gang's life",
            "members",
            List.of(1, 16, 128),
            SampleMessages::jobLifecycle,
            Envelope[].class));
    slopes.add(
        messagePackSlope(
            "claim and outcome",
            "characters of answer",
            List.of(32, 256, 2048),
            SampleMessages::request,
            Envelope[].class));
    slopes.add(
        jsonSlope("lease renewal", TASK_COUNTS, SampleMessages::renewal, WorkerExchange.class));
    slopes.add(jsonSlope("worker report", TASK_COUNTS, SampleMessages::report, WorkerReport.class));
    return slopes;
  }

  private static Slope messagePackSlope(
      String message, String grows, List<Integer> sizes, IntFunction<?> sample, Class<?> type) {
    return measureSlope(
        message,
        grows,
        sizes,
        sample,
        MessagePackCodec::encode,
        bytes -> MessagePackCodec.decode(bytes, type));
  }

  private static Slope jsonSlope(
      String message, List<Integer> sizes, IntFunction<?> sample, Class<?> type) {
    return measureSlope(
        message,
        "tasks of a worker",
        sizes,
        sample,
        JsonCodec::write,
        bytes -> JsonCodec.read(bytes, type));
  }

  private static Slope measureSlope(
      String message,
      String grows,
      List<Integer> sizes,
      IntFunction<?> sample,
      Function<Object, byte[]> encode,
      Consumer<byte[]> decode) {
    List<Slope.Point> points = new ArrayList<>();
    for (int size : sizes) {
      Object value = sample.apply(size);
      Runnable roundTrip = () -> decode.accept(encode.apply(value));
      points.add(measurePoint(size, encode.apply(value).length, roundTrip));
    }
    return Slope.fit(message, grows, points);
  }

  private static Slope.Point measurePoint(int size, int bytes, Runnable roundTrip) {
    for (int round = 0; round < ROUND_TRIPS; round++) {
      roundTrip.run();
    }
    long start = System.nanoTime();
    for (int round = 0; round < ROUND_TRIPS; round++) {
      roundTrip.run();
    }
    return new Slope.Point(
        size, bytes, (System.nanoTime() - start) / NANOS_PER_MICRO / ROUND_TRIPS);
  }
}
