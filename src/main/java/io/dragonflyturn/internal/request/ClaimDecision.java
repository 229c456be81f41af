package io.dragonflyturn.internal.request;

/** Who may send a request. */
sealed interface ClaimDecision {
  /** This entry alone may send it, and has not done so. */
  record Owned() implements ClaimDecision {}

  /** It may have been sent by its owner: another entry, or this one earlier. */
  record OwnedElsewhere(String incarnation) implements ClaimDecision {}

  /** It is not sent; this is the answer. */
  record Settled(RequestResponse answer) implements ClaimDecision {}
}
