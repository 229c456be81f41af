package io.dragonflyturn.internal.log;

import java.time.Duration;

/** The connection of one replica to a log, which can be disconnected or made to hang. */
final class DisconnectableLog implements PlatformLog, PeerLog {
  private final PlatformLog log;
  private volatile boolean disconnected;
  private volatile Duration failureDelay = Duration.ZERO;

  DisconnectableLog(PlatformLog log) {
    this.log = log;
  }

  void setDisconnected(boolean newValue) {
    disconnected = newValue;
  }

  /** Sets how long each call hangs before it fails while the log is disconnected. */
  void setFailureDelay(Duration delay) {
    failureDelay = delay;
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    checkConnected(LogException.Effect.UNKNOWN);
    return log.append(stream, batch, timeout);
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    checkConnected(LogException.Effect.NONE);
    return log.read(stream, fromOffset, maximumWait);
  }

  private void checkConnected(LogException.Effect effect) {
    if (!disconnected) {
      return;
    }
    try {
      Thread.sleep(failureDelay);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    throw new LogException(effect, "The log is disconnected.");
  }
}
