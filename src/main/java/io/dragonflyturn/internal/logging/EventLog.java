package io.dragonflyturn.internal.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Writes structured events, such as scheduling decisions and observed state changes, as JSON lines.
 *
 * <p>Callers never block: lines pass through a bounded queue. Lines that do not fit are dropped,
 * and their number is reported with the next line that is queued.
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

  /** Creates a log; nothing is written before {@link #start}. */
  public EventLog(PrintStream output, InstantSource clock, String instance) {
    this.output = output;
    this.clock = clock;
    this.instance = instance;
  }

  /** Starts the writer thread. */
  public void start() {
    Thread.ofPlatform().daemon().name("event-log").start(this::run);
  }

  /** Starts a line for an event; {@link Line#write} queues it. */
  public Line event(String name) {
    return new Line(name);
  }

  /** Returns the number of lines that were dropped because the queue was full. */
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

  /** Builder of one log line. */
  public final class Line {
    private final StringBuilder text = new StringBuilder(160);

    private Line(String name) {
      text.append("{\"time\":").append(clock.millis());
      with("instance", instance);
      with("event", name);
    }

    /** Adds a field; null is written as an empty string. */
    public Line with(String field, @Nullable Object value) {
      text.append(",\"").append(field).append("\":");
      if (value instanceof Number || value instanceof Boolean) {
        text.append(value);
      } else {
        quote(value == null ? "" : value.toString());
      }
      return this;
    }

    /** Queues the line for the writer thread. */
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
