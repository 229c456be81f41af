package io.dragonflyturn.internal.ledger;

/** What became of an append. */
public sealed interface AppendOutcome {
  /**
   * The records are stored.
   *
   * @param offset the offset of the first record
   */
  record Stored(long offset) implements AppendOutcome {}

  /**
   * Nothing was stored: the topic does not end where the writer expected.
   *
   * @param end where the topic ends
   */
  record EndOffsetMismatch(long end) implements AppendOutcome {}

  /** Nothing was stored: a writer with a higher epoch has taken over. */
  record Fenced() implements AppendOutcome {}

  /**
   * Nothing was stored: another sequence was expected.
   *
   * @param expected the sequence that the store expects
   */
  record OutOfSequence(long expected) implements AppendOutcome {}

  /** Nothing was stored: the store is busy or unavailable. */
  record Rejected() implements AppendOutcome {}

  /** The records may be stored, now or later. */
  record Unknown() implements AppendOutcome {}
}
