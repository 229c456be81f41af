package io.dragonflyturn.internal.ledger;

/** The outcome of an append to a {@link RecordStore}. */
public sealed interface AppendOutcome {
  /**
   * The records are stored.
   *
   * @param offset the offset of the first record
   */
  record Stored(long offset) implements AppendOutcome {}

  /**
   * Nothing was stored: the end offset of the topic is not the one that the append required.
   *
   * @param endOffset the current end offset of the topic
   */
  record EndOffsetMismatch(long endOffset) implements AppendOutcome {}

  /** Nothing was stored: a writer of the same name has appended with a higher epoch. */
  record Fenced() implements AppendOutcome {}

  /**
   * Nothing was stored: the sequence number does not follow the writer's last one.
   *
   * @param expected the sequence number that the store expects next
   */
  record OutOfSequence(long expected) implements AppendOutcome {}

  /** Nothing was stored: the store is overloaded, full, or unavailable. */
  record Rejected() implements AppendOutcome {}

  /**
   * Nothing was stored, and a repetition would not be, because the store does not accept these
   * records. This may be due to a single one of them.
   */
  record Invalid() implements AppendOutcome {}

  /** The outcome is unknown: the records may be stored already, or may be stored later. */
  record Unknown() implements AppendOutcome {}
}
