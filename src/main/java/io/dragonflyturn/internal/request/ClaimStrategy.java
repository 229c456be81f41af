package io.dragonflyturn.internal.request;

import java.util.concurrent.CompletableFuture;

/** Ensures that a non-idempotent request is sent at most once across all entries. */
sealed interface ClaimStrategy permits LogClaimStrategy, IssuedIdentifierClaimStrategy {
  /** Determines which entry may send a request. The future never fails. */
  CompletableFuture<ClaimDecision> acquire(RequestCall call);

  /**
   * Determines who may send a request whose owner does not respond. The future never fails.
   *
   * <p>The decision {@link ClaimDecision.Owned} is made by the order of records in the log and
   * proves that the request was never sent.
   */
  CompletableFuture<ClaimDecision> takeOver(RequestCall call, String owner);

  /** Records that a request owned by this entry was not sent, so that it may be sent later. */
  void releaseClaim(RequestCall call);

  /**
   * Returns whether an earlier call with the same identifier may have sent the request. If so, a
   * refusal of this call must not state that the request did not run.
   */
  boolean mayHaveRun(RequestCall call);

  /**
   * Returns whether the owner can recognize a used key after its outcome was evicted from memory.
   */
  boolean tracksUsedKeys();
}
