package io.dragonflyturn.internal.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Writes decisions and changes of belief as JSON lines, one line each.
 *
 * <p>Callers never block: lines pass through a bounded queue, and what does not fit is counted and
 * reported with the next line that does.
 *
 * <pre>{@code
 * events.event("job-accepted").with("job", id).with("configuration", version).write();
 * }</pre>
 */
public final class EventLog implements AutoCloseable {
  private static final int QUEUE_CAPACITY_LINES = 2_000;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream output;
  private final InstantSource clock;
  private final String instance;
  private volatile boolean closed;

  /** Creates a log that writes nothing until it is started. */
  public EventLog(PrintStream output, InstantSource clock, String instance) {
    this.output = output;
    this.clock = clock;
    this.instance = instance;
  }

  /** Starts the thread that writes. */
  public void start() {
    Thread.ofPlatform().daemon().name("event-log").start(this::run);
  }

  /** Begins a line; it is written by {@link Line#write}. */
  public Line event(String name) {
    return new Line(name);
  }

  /** Returns how many lines did not fit the queue so far. */
  public long droppedLines() {
    return dropped.get();
  }

  @Override
  public void close() {
    closed = true;
    StringBuilder remaining = new StringBuilder();
    appendQueuedLines(remaining);
    print(remaining);
  }

  private void run() {
    while (!closed) {
      try {
        StringBuilder text = new StringBuilder(queue.take()).append('\n');
        appendQueuedLines(text);
        print(text);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void appendQueuedLines(StringBuilder text) {
    String line = queue.poll();
    while (line != null) {
      text.append(line).append('\n');
      line = queue.poll();
    }
  }

  private void print(StringBuilder text) {
    if (text.isEmpty()) {
      return;
    }
    output.writeBytes(text.toString().getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private void offer(String line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /** A line in the making. */
  public final class Line {
    private final StringBuilder text = new StringBuilder(160);

    private Line(String name) {
      text.append("{\"time\":").append(clock.millis());
      with("instance", instance);
      with("event", name);
    }

    /** Adds a field; null becomes an empty text. */
    public Line with(String field, @Nullable Object value) {
      text.append(",\"").append(field).append("\":");
      if (value instanceof Number || value instanceof Boolean) {
        text.append(value);
      } else {
        quote(value == null ? "" : value.toString());
      }
      return this;
    }

    /** Hands the line to the writing thread. */
    public void write() {
      long droppedBefore = dropped.getAndSet(0);
      if (droppedBefore > 0) {
        with("droppedLines", droppedBefore);
      }
      offer(text.append('}').toString());
    }

    private void quote(String value) {
      text.append('"');
      for (int i = 0; i < value.length(); i++) {
        char character = value.charAt(i);
        if (character == '"' || character == '\\') {
          text.append('\\').append(character);
        } else if (character < ' ') {
          text.append(' ');
        } else {
          text.append(character);
        }
      }
      text.append('"');
    }
  }
}
