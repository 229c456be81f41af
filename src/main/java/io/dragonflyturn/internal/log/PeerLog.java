package io.dragonflyturn.internal.log;

import java.time.Duration;

/** Reads the platform's log through peers that can reach it. */
public interface PeerLog {
  /** An implementation without peers, which always throws {@link LogException}. */
  PeerLog NONE =
      (stream, fromOffset, maximumWait) -> {
        throw new LogException(
            LogException.Effect.NONE, "There are no peers to read the log through.");
      };

  /**
   * Reads like {@link PlatformLog#read}, through a peer. The peer must read from the log during
   * this call and must not answer from a cache, because the slice resets the age of the caller's
   * view.
   *
   * @throws LogException if no peer can reach the log
   */
  LogSlice read(String stream, long fromOffset, Duration maximumWait);
}
