package io.dragonflyturn.internal.log;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A log that records the offset of the first read of the control stream. */
final class FirstReadOffsetLog implements PlatformLog {
  private static final long NONE = -1;

  private final PlatformLog log;
  private final AtomicLong firstOffset = new AtomicLong(NONE);

  FirstReadOffsetLog(PlatformLog log) {
    this.log = log;
  }

  long firstReadOffset() {
    return firstOffset.get();
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    return log.append(stream, batch, timeout);
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    if (stream.equals(CONTROL_STREAM)) {
      firstOffset.compareAndSet(NONE, fromOffset);
    }
    return log.read(stream, fromOffset, maximumWait);
  }
}
