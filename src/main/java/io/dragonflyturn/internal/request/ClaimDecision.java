package io.dragonflyturn.internal.request;

/** The result of claiming a request: which entry, if any, may send it. */
sealed interface ClaimDecision {
  /** This entry is the only one that may send the request, and it has not sent it yet. */
  record Owned() implements ClaimDecision {}

  /**
   * The owner may have sent the request already. The owner is another entry, or this entry in an
   * earlier call.
   */
  record OwnedElsewhere(String incarnation) implements ClaimDecision {}

  /** The request must not be sent, because its response is known already. */
  record Resolved(RequestResponse response) implements ClaimDecision {}
}
