package io.dragonflyturn.internal.ledger;

/** The final result of a write by a {@link SequencedWriter}. */
public enum WriteResult {
  /** The record is stored. */
  STORED,
  /** The record is not stored and never will be. */
  REFUSED,
  /**
   * The record is not stored and never will be, because the store does not accept such a record.
   */
  INVALID,
  /**
   * The record may be stored: another writer has taken over, this one was closed, or the store does
   * not accept the record after an earlier attempt had an unknown outcome.
   */
  FENCED
}
