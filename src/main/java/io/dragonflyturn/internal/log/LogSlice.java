package io.dragonflyturn.internal.log;

import java.util.List;

/**
 * The result of a read: consecutive batches of a stream.
 *
 * @param firstAvailable the lowest offset that the log still retains
 * @param end the offset of the next append
 * @param batches the batches, in order; empty if there were none within the maximum wait
 */
public record LogSlice(long firstAvailable, long end, List<Batch> batches) {
  /** Creates an instance with an immutable copy of the batches. */
  public LogSlice {
    batches = List.copyOf(batches);
  }

  /**
   * One appended batch.
   *
   * @param offset the offset of the batch
   * @param content the encoded content
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Batch(long offset, byte[] content) {}
}
