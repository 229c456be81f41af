package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.log.InMemoryPlatformLog;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.PlatformLog;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An in-memory log that runs an action before it appends the first batch that contains a given
 * text. Tests use it to append another record ahead of that batch.
 */
final class InterceptingLog implements PlatformLog {
  private final InMemoryPlatformLog log = new InMemoryPlatformLog();
  private final AtomicReference<Runnable> interceptor = new AtomicReference<>(() -> {});
  private volatile String interceptedText = "";

  /**
   * Registers an action that runs once, before the next batch that contains the text is appended.
   */
  void runBeforeAppend(String batchText, Runnable action) {
    interceptor.set(action);
    interceptedText = batchText;
  }

  void stop() {
    log.stop(true);
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    if (!interceptedText.isEmpty()
        && new String(batch, StandardCharsets.ISO_8859_1).contains(interceptedText)) {
      interceptor.getAndSet(() -> {}).run();
    }
    return log.append(stream, batch, timeout);
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    return log.read(stream, fromOffset, maximumWait);
  }
}
