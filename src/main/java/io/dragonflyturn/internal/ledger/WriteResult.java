package io.dragonflyturn.internal.ledger;

/** The final result of a write by a {@link SequencedWriter}. */
public enum WriteResult {
  /** The record is stored. */
  STORED,
  /** The record is not stored and never will be. */
  REFUSED,
  /** Another writer has taken over, or this one was closed; the record may be stored. */
  FENCED
}
