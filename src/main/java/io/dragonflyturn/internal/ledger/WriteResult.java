package io.dragonflyturn.internal.ledger;

/** What a writer knows of its records when it stops trying. */
public enum WriteResult {
  /** The records are stored. */
  STORED,
  /** The records are not stored, and never will be. */
  REFUSED,
  /** Another writer has taken over; the records may be stored. */
  FENCED
}
