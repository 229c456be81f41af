package io.dragonflyturn.internal.ledger;

import java.util.Map;

/** Follows the newest values of a topic. All calls come from one thread. */
public interface TopicListener {
  /** Takes the newest value of every key, in place of all that was known. */
  void reset(Map<String, byte[]> newest);

  /** Takes one further record. */
  void apply(KeyedRecord change);

  /** Tells that all records up to an offset have been applied. */
  void advancedTo(long nextOffset);
}
