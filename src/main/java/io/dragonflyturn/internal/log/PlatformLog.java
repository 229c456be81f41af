package io.dragonflyturn.internal.log;

import java.time.Duration;

/**
 * A client of the platform's append-only log service. Each append creates one batch with its own
 * offset.
 *
 * <p>Both methods block the calling thread and throw {@link LogException} on failure.
 */
public interface PlatformLog {
  /** The stream that contains the control records. */
  String CONTROL_STREAM = "control";

  /** The stream that contains the snapshots of the control state. */
  String SNAPSHOT_STREAM = "snapshot";

  /**
   * Appends a batch.
   *
   * @param stream the stream to append to
   * @param batch the encoded content of the batch
   * @param timeout the maximum time to wait for the answer
   * @return the offset of the batch
   * @throws LogException with {@link LogException.Effect#NONE} if nothing was appended, or with
   *     {@link LogException.Effect#UNKNOWN} if the answer was lost
   */
  long append(String stream, byte[] batch, Duration timeout);

  /**
   * Reads batches in order, starting at an offset. If there are none, waits up to {@code
   * maximumWait} for the first one.
   *
   * @throws LogException if the log does not answer
   */
  LogSlice read(String stream, long fromOffset, Duration maximumWait);
}
