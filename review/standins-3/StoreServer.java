import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: keyed topics of one partition, producers, and conditions. */
final class StoreServer {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE_RECORDS = 500;
  private static final int REMEMBERED_APPENDS = 5;
  private static final long ANSWER_MILLIS = 4;

  private final HttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();

  /** Decides what happens to a call of a machine; the machine is known by its source address. */
  interface Gate {
    /** Returns whether the call is served; otherwise it gets no answer at all. */
    boolean admits(String sourceAddress, String path, String topic);
  }

  volatile Gate gate = (source, path, topic) -> true;

  private static final class Producer {
    long epoch = -1;
    long sequence;
    final LinkedHashMap<Long, ObjectNode> answers = new LinkedHashMap<>();
  }

  private record Newest(byte[] value, long offset) {}

  private static final class Topic {
    final List<byte[]> log = new ArrayList<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();
  }

  StoreServer(String address) throws IOException {
    server = HttpServer.create(new InetSocketAddress(address, 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::serve);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  private synchronized Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  /** Writes a record as the operator or a worker does; null removes the key. */
  void put(String topicName, String key, byte[] value) {
    Topic topic = topic(topicName);
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    int valueBytes = value == null ? 0 : value.length;
    ByteBuffer frame = ByteBuffer.allocate(1 + name.length + valueBytes);
    frame.put((byte) name.length).put(name);
    if (value != null) {
      frame.put(value);
    }
    synchronized (topic) {
      add(topic, frame.array());
      topic.notifyAll();
    }
  }

  private static void add(Topic topic, byte[] frame) {
    int keyBytes = frame[0] & 0xff;
    String key = new String(frame, 1, keyBytes, StandardCharsets.UTF_8);
    byte[] value = new byte[frame.length - 1 - keyBytes];
    System.arraycopy(frame, 1 + keyBytes, value, 0, value.length);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, new Newest(value, topic.log.size()));
    }
    topic.log.add(frame);
  }

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      byte[] body = exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath();
      String topicName = query.getOrDefault("topic", "");
      String source = exchange.getRemoteAddress().getAddress().getHostAddress();
      if (!gate.admits(source, path, topicName)) {
        Thread.sleep(30_000);
        return;
      }
      Thread.sleep(ANSWER_MILLIS);
      Topic topic = topic(topicName);
      switch (path) {
        case "/v1/log-append" -> append(exchange, topic, query, body);
        case "/v1/log-read" -> read(exchange, topic, query);
        case "/v1/log-newest" -> newest(exchange, topic, query);
        default -> answer(exchange, 404, new byte[0]);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void append(
      HttpExchange exchange, Topic topic, Map<String, String> query, byte[] body)
      throws IOException {
    int status = 200;
    ObjectNode answer = JSON.createObjectNode();
    synchronized (topic) {
      Producer producer = null;
      long epoch = 0;
      long sequence = 0;
      if (query.containsKey("producer")) {
        producer = topic.producers.computeIfAbsent(query.get("producer"), key -> new Producer());
        epoch = Long.parseLong(query.get("epoch"));
        sequence = Long.parseLong(query.get("seq"));
        if (epoch < producer.epoch) {
          answerJson(exchange, 409, answer.put("reason", "fenced"));
          return;
        }
        if (epoch == producer.epoch) {
          ObjectNode first = producer.answers.get(sequence);
          if (first != null) {
            answerJson(exchange, 200, first);
            return;
          }
          if (sequence != producer.sequence + 1) {
            answerJson(exchange, 409, answer.put("reason", "seq").put("seq", producer.sequence + 1));
            return;
          }
        }
      }
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.log.size()) {
        answerJson(exchange, 412, answer.put("end", topic.log.size()));
        return;
      }
      answer.put("offset", topic.log.size());
      ByteBuffer frames = ByteBuffer.wrap(body);
      while (frames.hasRemaining()) {
        byte[] frame = new byte[frames.getInt()];
        frames.get(frame);
        add(topic, frame);
      }
      answer.put("end", topic.log.size());
      if (producer != null) {
        if (epoch > producer.epoch) {
          producer.answers.clear();
        }
        producer.epoch = epoch;
        producer.sequence = sequence;
        producer.answers.put(sequence, answer);
        if (producer.answers.size() > REMEMBERED_APPENDS) {
          producer.answers.pollFirstEntry();
        }
      }
      topic.notifyAll();
    }
    answerJson(exchange, status, answer);
  }

  private void read(HttpExchange exchange, Topic topic, Map<String, String> query)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    synchronized (topic) {
      long left = (deadline - System.nanoTime()) / 1_000_000;
      while (from >= topic.log.size() && left > 0) {
        topic.wait(left);
        left = (deadline - System.nanoTime()) / 1_000_000;
      }
      DataOutputStream output = new DataOutputStream(bytes);
      output.writeLong(topic.log.size());
      output.writeLong(0);
      for (int offset = from; offset < topic.log.size(); offset++) {
        output.writeInt(topic.log.get(offset).length);
        output.write(topic.log.get(offset));
      }
    }
    answer(exchange, 200, bytes.toByteArray());
  }

  private void newest(HttpExchange exchange, Topic topic, Map<String, String> query)
      throws IOException {
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode items = answer.putArray("items");
    synchronized (topic) {
      boolean more = false;
      String after = query.getOrDefault("dependsOn", "");
      for (Map.Entry<String, Newest> entry : topic.newest.tailMap(after, false).entrySet()) {
        if (items.size() == PAGE_RECORDS) {
          more = true;
          break;
        }
        items
            .addObject()
            .put("key", entry.getKey())
            .put("value", Base64.getEncoder().encodeToString(entry.getValue().value))
            .put("offset", entry.getValue().offset);
      }
      answer.put("hasMore", more).put("end", topic.log.size());
    }
    answerJson(exchange, 200, answer);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  static void answerJson(HttpExchange exchange, int status, ObjectNode body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    answer(exchange, status, JSON.writeValueAsBytes(body));
  }

  static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
  }
}
