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
  /** Another writer has taken over, or this one was closed; the record may be stored. */
  FENCED
}
