import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stands in for the platform's store: topics with one partition of keyed records. */
final class Store implements AutoCloseable {
  /** The limits of the settings file: bytes of a record, and of the records of a call. */
  static final int RECORD_BYTES = 262_144;

  static final int CALL_BYTES = 2_097_152;

  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1 << 20;

  /** Told of each append that was stored. */
  interface Observer {
    void stored(String topic, String key, byte[] value);
  }

  private final Map<String, Topic> topics = new ConcurrentHashMap<>();
  private final Journal journal;
  private final Http http;
  private volatile Observer observer = (topic, key, value) -> {};

  Store(Journal journal) {
    this.journal = journal;
    this.http = new Http(this::answer);
  }

  String address() {
    return http.address();
  }

  void observe(Observer next) {
    observer = next;
  }

  /** Writes a record as the operator and the workers do; a null value drops the key. */
  void put(String topic, String key, Object value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] content = value == null ? new byte[0] : Json.write(value);
    ByteBuffer frame = ByteBuffer.allocate(5 + name.length + content.length);
    frame.putInt(1 + name.length + content.length).put((byte) name.length).put(name).put(content);
    topic(topic).append(topic, null, 0, 0, -1, frame.array());
  }

  /** Returns the newest value of a key; null if there is none. */
  byte[] newest(String topic, String key) {
    Topic found = topic(topic);
    synchronized (found) {
      byte[] record = found.newest.get(key);
      return record == null ? null : valueOf(record);
    }
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  private Http.Response answer(
      String path, Map<String, String> query, HttpExchange exchange, byte[] body)
      throws InterruptedException {
    String name = query.getOrDefault("topic", "");
    Topic topic = topic(name);
    switch (path) {
      case "/v1/log-append" -> {
        return topic.append(
            name,
            query.get("producer"),
            Long.parseLong(query.getOrDefault("epoch", "0")),
            Long.parseLong(query.getOrDefault("seq", "0")),
            Long.parseLong(query.getOrDefault("at", "-1")),
            body);
      }
      case "/v1/log-read" -> {
        return topic.read(
            Long.parseLong(query.get("from")),
            Long.parseLong(query.getOrDefault("waitMs", "0")),
            Integer.parseInt(query.getOrDefault("maxKb", "1024")) * 1024);
      }
      case "/v1/log-newest" -> {
        return topic.newest(query.getOrDefault("dependsOn", ""));
      }
      default -> {
        return Http.Response.json(404, Map.of());
      }
    }
  }

  private static String keyOf(byte[] record) {
    return new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
  }

  private static byte[] valueOf(byte[] record) {
    int start = 1 + (record[0] & 0xff);
    byte[] value = new byte[record.length - start];
    System.arraycopy(record, start, value, 0, value.length);
    return value;
  }

  @Override
  public void close() {
    http.close();
  }

  /** The state of a writer that numbers its appends. */
  private static final class Producer {
    private long epoch = -1;
    private long sequence;
    private final LinkedHashMap<Long, Http.Response> last = new LinkedHashMap<>();
  }

  private final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, byte[]> newest = new TreeMap<>();
    private final Map<String, Long> offsets = new ConcurrentHashMap<>();
    private final Map<String, Producer> producers = new ConcurrentHashMap<>();

    synchronized Http.Response append(
        String name, String producerName, long epoch, long sequence, long at, byte[] body) {
      Producer producer = null;
      if (producerName != null) {
        producer = producers.computeIfAbsent(producerName, unused -> new Producer());
        if (epoch < producer.epoch) {
          return Http.Response.json(409, Map.of("reason", "fenced"));
        }
        if (epoch == producer.epoch) {
          Http.Response first = producer.last.get(sequence);
          if (first != null) {
            return first;
          }
          if (sequence != producer.sequence + 1) {
            return Http.Response.json(
                409, Map.of("reason", "seq", "seq", producer.sequence + 1));
          }
        }
      }
      if (at >= 0 && at != records.size()) {
        return Http.Response.json(412, Map.of("end", (long) records.size()));
      }
      List<byte[]> added = new ArrayList<>();
      ByteBuffer frames = ByteBuffer.wrap(body);
      while (frames.hasRemaining()) {
        byte[] record = new byte[frames.getInt()];
        frames.get(record);
        if (record.length > RECORD_BYTES) {
          journal.line(
              "store: append to %s by %s refused, a record has %d bytes", name, producerName,
              record.length);
          return Http.Response.json(400, Map.of("reason", "a record is too long"));
        }
        added.add(record);
      }
      if (body.length > CALL_BYTES) {
        return Http.Response.json(400, Map.of("reason", "the call is too long"));
      }
      long offset = records.size();
      for (byte[] record : added) {
        String key = keyOf(record);
        if (record.length == 1 + (record[0] & 0xff)) {
          newest.remove(key);
        } else {
          newest.put(key, record);
          offsets.put(key, (long) records.size());
        }
        records.add(record);
      }
      Http.Response stored =
          Http.Response.json(200, Map.of("offset", offset, "end", (long) records.size()));
      if (producer != null) {
        if (epoch > producer.epoch) {
          producer.last.clear();
        }
        producer.epoch = epoch;
        producer.sequence = sequence;
        producer.last.put(sequence, stored);
        if (producer.last.size() > 5) {
          producer.last.remove(producer.last.keySet().iterator().next());
        }
      }
      notifyAll();
      for (byte[] record : added) {
        observer.stored(name, keyOf(record), valueOf(record));
      }
      return stored;
    }

    synchronized Http.Response read(long from, long waitMillis, int maximumBytes)
        throws InterruptedException {
      long until = Journal.now() + waitMillis;
      while (records.size() <= from && Journal.now() < until) {
        wait(Math.max(1, until - Journal.now()));
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
      for (long offset = from; offset < records.size() && out.size() < maximumBytes; offset++) {
        byte[] record = records.get((int) offset);
        out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        out.writeBytes(record);
      }
      return new Http.Response(200, out.toByteArray(), "application/octet-stream");
    }

    synchronized Http.Response newest(String after) {
      List<Object> items = new ArrayList<>();
      int bytes = 0;
      boolean hasMore = false;
      for (Map.Entry<String, byte[]> entry : newest.tailMap(after, false).entrySet()) {
        if (items.size() == PAGE_RECORDS || bytes > PAGE_BYTES) {
          hasMore = true;
          break;
        }
        byte[] value = valueOf(entry.getValue());
        bytes += value.length;
        items.add(
            Map.of(
                "key", entry.getKey(),
                "value", Base64.getEncoder().encodeToString(value),
                "offset", offsets.get(entry.getKey())));
      }
      return Http.Response.json(
          200, Map.of("items", items, "hasMore", hasMore, "end", (long) records.size()));
    }
  }
}
