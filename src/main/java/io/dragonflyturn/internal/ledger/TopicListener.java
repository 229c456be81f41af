package io.dragonflyturn.internal.ledger;

import java.util.Map;

/**
 * Receives the contents of a topic from a {@link TopicConsumer}. All calls come from one thread.
 */
public interface TopicListener {
  /**
   * Replaces the known state by the latest value of every key.
   *
   * @param latestValues the values by key; deleted keys are absent
   */
  void reset(Map<String, byte[]> latestValues);

  /** Applies one record that was appended after the last reset. */
  void apply(KeyedRecord change);

  /** Reports that all records before {@code nextOffset} have been applied. */
  void advancedTo(long nextOffset);
}
