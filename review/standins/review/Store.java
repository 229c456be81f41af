package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

/**
 * Stands in for the platform's store: keyed topics of one partition, producers with epochs and
 * sequence numbers, and appends with a condition. Each instance reaches it at a port of its own.
 */
final class Store {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final long ANSWER_MILLIS = 4;

  private final Map<String, Topic> topics = new HashMap<>();

  /** Decides which appends are done and not answered. */
  volatile AnswerLoss answerLoss = (instance, records) -> false;

  private long appends;
  private long lostAnswers;

  /** Decides whether the answer of an append is lost. */
  interface AnswerLoss {
    boolean loses(int instance, String records);
  }

  synchronized long appends() {
    return appends;
  }

  synchronized long lostAnswers() {
    return lostAnswers;
  }

  /** Changes a value for the instance that reads it; it gives each instance its own addresses. */
  private final BiFunction<Integer, String, String> view;

  Store(BiFunction<Integer, String, String> view) {
    this.view = view;
  }

  private static final class Topic {
    final List<String> keys = new ArrayList<>();
    final List<byte[]> values = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();

    void add(String key, byte[] value) {
      if (value.length == 0) {
        newest.remove(key);
      } else {
        newest.put(key, keys.size());
      }
      keys.add(key);
      values.add(value);
    }
  }

  private static final class Producer {
    long epoch = -1;
    long sequence;
    final LinkedHashMap<Long, String> lastAnswers = new LinkedHashMap<>();
  }

  /** Writes a record as an operator or worker. An empty value drops the key. */
  synchronized void put(String topic, String key, String value) {
    topic(topic).add(key, value.getBytes(StandardCharsets.UTF_8));
    notifyAll();
  }

  /** Returns the newest value of the first key of a topic that begins with a prefix. */
  synchronized byte[] newestWithPrefix(String topic, String prefix) {
    Map.Entry<String, Integer> entry = topic(topic).newest.ceilingEntry(prefix);
    return entry != null && entry.getKey().startsWith(prefix)
        ? topic(topic).values.get(entry.getValue())
        : null;
  }

  /** Adds a record that an earlier leader has left, as raw bytes. */
  synchronized void putRaw(String topic, String key, byte[] value) {
    topic(topic).add(key, value);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  HttpStandin.Answer serve(int instance, HttpStandin.Call call) throws Exception {
    Thread.sleep(ANSWER_MILLIS);
    String topic = call.query().get("topic");
    return switch (call.path()) {
      case "/v1/log-append" -> answerUnlessLost(instance, call, append(topic, call));
      case "/v1/log-read" -> read(instance, topic, call);
      case "/v1/log-newest" -> newest(instance, topic, call);
      default -> HttpStandin.Answer.json(404, "{}");
    };
  }

  private synchronized HttpStandin.Answer answerUnlessLost(
      int instance, HttpStandin.Call call, HttpStandin.Answer answer) {
    appends++;
    String records = new String(call.body(), StandardCharsets.ISO_8859_1);
    if (answerLoss.loses(instance, records)) {
      lostAnswers++;
      return HttpStandin.Answer.NONE;
    }
    return answer;
  }

  private synchronized HttpStandin.Answer append(String name, HttpStandin.Call call) {
    Topic topic = topic(name);
    Map<String, String> query = call.query();
    Producer producer = null;
    long epoch = 0;
    long sequence = 0;
    if (query.containsKey("producer")) {
      producer = topic.producers.computeIfAbsent(query.get("producer"), unused -> new Producer());
      epoch = Long.parseLong(query.get("epoch"));
      sequence = Long.parseLong(query.get("seq"));
      if (epoch < producer.epoch) {
        return HttpStandin.Answer.json(409, "{\"reason\":\"fenced\"}");
      }
      if (epoch == producer.epoch) {
        if (producer.lastAnswers.containsKey(sequence)) {
          return HttpStandin.Answer.json(200, producer.lastAnswers.get(sequence));
        }
        if (sequence != producer.sequence + 1) {
          return HttpStandin.Answer.json(
              409, "{\"reason\":\"seq\",\"seq\":" + (producer.sequence + 1) + "}");
        }
      }
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.keys.size()) {
      return HttpStandin.Answer.json(412, "{\"end\":" + topic.keys.size() + "}");
    }
    long offset = topic.keys.size();
    ByteBuffer records = ByteBuffer.wrap(call.body());
    while (records.hasRemaining()) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      int keyLength = record[0] & 0xff;
      byte[] value = new byte[record.length - 1 - keyLength];
      System.arraycopy(record, 1 + keyLength, value, 0, value.length);
      topic.add(new String(record, 1, keyLength, StandardCharsets.UTF_8), value);
    }
    String answer = "{\"offset\":" + offset + ",\"end\":" + topic.keys.size() + "}";
    if (producer != null) {
      if (epoch > producer.epoch) {
        producer.lastAnswers.clear();
      }
      producer.epoch = epoch;
      producer.sequence = sequence;
      producer.lastAnswers.put(sequence, answer);
      if (producer.lastAnswers.size() > 5) {
        producer.lastAnswers.pollFirstEntry();
      }
    }
    notifyAll();
    return HttpStandin.Answer.json(200, answer);
  }

  private byte[] visible(int instance, String topic, byte[] value) {
    if (!topic.equals("keyed.servers") || value.length == 0) {
      return value;
    }
    return view.apply(instance, new String(value, StandardCharsets.UTF_8))
        .getBytes(StandardCharsets.UTF_8);
  }

  private synchronized HttpStandin.Answer read(int instance, String name, HttpStandin.Call call)
      throws InterruptedException, IOException {
    Topic topic = topic(name);
    int from = Integer.parseInt(call.query().get("from"));
    long endNanos =
        System.nanoTime()
            + Long.parseLong(call.query().getOrDefault("waitMs", "0")) * 1_000_000;
    while (from >= topic.keys.size() && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream output = new DataOutputStream(bytes);
    output.writeLong(topic.keys.size());
    output.writeLong(0);
    for (int offset = from; offset < topic.keys.size(); offset++) {
      byte[] key = topic.keys.get(offset).getBytes(StandardCharsets.UTF_8);
      byte[] value = visible(instance, name, topic.values.get(offset));
      output.writeInt(1 + key.length + value.length);
      output.writeByte(key.length);
      output.write(key);
      output.write(value);
    }
    return HttpStandin.Answer.bytes(bytes.toByteArray());
  }

  private synchronized HttpStandin.Answer newest(
      int instance, String name, HttpStandin.Call call) {
    Topic topic = topic(name);
    ObjectNode body = JSON.createObjectNode();
    ArrayNode items = body.putArray("items");
    String after = call.query().getOrDefault("dependsOn", "");
    boolean more = false;
    for (Map.Entry<String, Integer> entry : topic.newest.tailMap(after, false).entrySet()) {
      if (items.size() == 500) {
        more = true;
        break;
      }
      byte[] value = visible(instance, name, topic.values.get(entry.getValue()));
      items
          .addObject()
          .put("key", entry.getKey())
          .put("value", Base64.getEncoder().encodeToString(value))
          .put("offset", entry.getValue());
    }
    body.put("hasMore", more).put("end", topic.keys.size());
    return HttpStandin.Answer.json(200, body.toString());
  }
}
