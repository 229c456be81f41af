package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.log.InMemoryPlatformLog;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.PlatformLog;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

/** A log in which something else comes just before the first batch that holds a text. */
final class InterceptingLog implements PlatformLog {
  private final InMemoryPlatformLog log = new InMemoryPlatformLog();
  private final AtomicReference<Runnable> overtaking = new AtomicReference<>(() -> {});
  private volatile String text = "";

  /** Runs an action before the first batch that holds a text is appended. */
  void overtake(String batchText, Runnable action) {
    overtaking.set(action);
    text = batchText;
  }

  void stop() {
    log.stop(true);
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    if (!text.isEmpty() && new String(batch, StandardCharsets.ISO_8859_1).contains(text)) {
      overtaking.getAndSet(() -> {}).run();
    }
    return log.append(stream, batch, timeout);
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    return log.read(stream, fromOffset, maximumWait);
  }
}
