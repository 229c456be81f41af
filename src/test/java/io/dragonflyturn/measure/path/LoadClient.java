package io.dragonflyturn.measure.path;

import io.dragonflyturn.internal.http.JsonCodec;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Sends requests straight to a worker and through an entry, and times them. */
final class LoadClient implements AutoCloseable {
  private static final int SUCCESS = 200;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final String token;

  LoadClient(String token) {
    this.token = token;
  }

  /** The ways in which a request can be sent. */
  enum Way {
    /** Straight to a worker. */
    DIRECT,
    /** Through an entry, idempotent. */
    IDEMPOTENT,
    /** Through an entry, under an id that the entry issued. */
    ISSUED,
    /** Through an entry, under a key that the caller chose. */
    LOGGED
  }

  /** Sends one request after another, the ways in turn, and returns the times in microseconds. */
  Map<Way, Histogram> inTurn(String worker, URI entry, int count) {
    Map<Way, Histogram> times = new EnumMap<>(Way.class);
    for (Way way : Way.values()) {
      times.put(way, new Histogram(3));
    }
    List<String> issued = issue(entry, count);
    for (int index = 0; index < count; index++) {
      for (Way way : Way.values()) {
        long start = System.nanoTime();
        send(way, worker, entry, issued.get(index));
        Objects.requireNonNull(times.get(way)).recordValue((System.nanoTime() - start) / 1_000);
      }
    }
    return times;
  }

  /** Sends idempotent requests over many connections, and returns the answered ones a second. */
  double throughput(List<URI> entries, int connections, Duration time) {
    LongAdder answered = new LongAdder();
    long until = System.nanoTime() + time.toNanos();
    try (ExecutorService threads = Executors.newFixedThreadPool(connections)) {
      List<Future<?>> loops =
          IntStream.range(0, connections)
              .<Future<?>>mapToObj(
                  index ->
                      threads.submit(
                          () -> loop(entries.get(index % entries.size()), until, answered)))
              .toList();
      for (Future<?> loop : loops) {
        loop.get();
      }
    } catch (InterruptedException | ExecutionException failure) {
      throw new IllegalStateException(failure);
    }
    return answered.sum() / (double) time.toSeconds();
  }

  private void loop(URI entry, long until, LongAdder answered) {
    while (System.nanoTime() < until) {
      try {
        send(Way.IDEMPOTENT, "", entry, "");
        answered.increment();
      } catch (IllegalStateException refused) {
        // Only answered requests count towards the throughput.
        Thread.yield();
      }
    }
  }

  private void send(Way way, String worker, URI entry, String issuedId) {
    String id = way == Way.ISSUED ? issuedId : UUID.randomUUID().toString();
    if (way == Way.DIRECT) {
      post(URI.create("http://" + worker + "/requests"), directBody(id));
    } else {
      post(entry.resolve("/v1/requests"), entryBody(way, id));
    }
  }

  private static Map<String, Object> directBody(String id) {
    return Map.of(
        "attemptId",
        id,
        "requestId",
        id,
        "kind",
        "reading",
        "idempotent",
        true,
        "deadlineMillis",
        10_000,
        "body",
        "cell 7");
  }

  private static Map<String, Object> entryBody(Way way, String id) {
    return Map.of(
        "requestId",
        id,
        "issued",
        way == Way.ISSUED,
        "createdAtMillis",
        System.currentTimeMillis(),
        "kind",
        way == Way.IDEMPOTENT ? "reading" : "booking",
        "urgency",
        "NORMAL",
        "deadlineMillis",
        10_000,
        "idempotent",
        way == Way.IDEMPOTENT,
        "body",
        "cell 7");
  }

  private List<String> issue(URI entry, int count) {
    List<String> issued = new ArrayList<>();
    while (issued.size() < count) {
      byte[] answer = post(entry.resolve("/v1/request-ids"), Map.of("count", 100));
      try {
        JsonCodec.mapper()
            .readTree(answer)
            .path("data")
            .path("requestIds")
            .forEach(id -> issued.add(id.asText()));
      } catch (IOException malformed) {
        throw new IllegalStateException(malformed);
      }
    }
    return issued;
  }

  private byte[] post(URI uri, Map<String, Object> body) {
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + token)
            .POST(HttpRequest.BodyPublishers.ofByteArray(JsonCodec.write(body)))
            .build();
    try {
      HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      if (response.statusCode() != SUCCESS) {
        throw new IllegalStateException(
            uri
                + " answered "
                + response.statusCode()
                + ": "
                + new String(response.body(), StandardCharsets.UTF_8));
      }
      return response.body();
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
