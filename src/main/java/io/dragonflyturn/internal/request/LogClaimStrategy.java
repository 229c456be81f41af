package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.util.concurrent.CompletableFuture;

/**
 * Claims requests by proposing an owner to the log. The first claim in the log determines the
 * owner. Used for keys that callers choose, and for issued identifiers whose issuer has shut down.
 */
final class LogClaimStrategy implements ClaimStrategy {
  private final ClaimLog claimLog;
  private final String incarnation;

  LogClaimStrategy(ClaimLog claimLog, String incarnation) {
    this.claimLog = claimLog;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<ClaimDecision> acquire(RequestCall call) {
    return claimLog
        .claim(call, incarnation, call.createdAtMillis())
        .thenApply(result -> decide(call, result));
  }

  @Override
  public CompletableFuture<ClaimDecision> takeOver(RequestCall call, String owner) {
    return claimLog
        .claim(call, owner, call.createdAtMillis())
        .thenApply(result -> new ClaimDecision.Resolved(ClaimLog.recordedResponse(call, result)));
  }

  @Override
  public void releaseClaim(RequestCall call) {
    // Nothing to undo: this entry remains the owner in the log, and since the request is removed
    // from the registry, a retry may send it.
  }

  @Override
  public boolean mayHaveRun(RequestCall call) {
    return false;
  }

  @Override
  public boolean tracksUsedKeys() {
    return false;
  }

  private ClaimDecision decide(RequestCall call, ClaimLog.ClaimResult result) {
    return switch (result) {
      case ClaimLog.ClaimResult.Accepted accepted -> new ClaimDecision.Owned();
      case ClaimLog.ClaimResult.Finished finished ->
          new ClaimDecision.Resolved(ClaimLog.recordedResponse(call, finished));
      case ClaimLog.ClaimResult.AlreadyOwned alreadyOwned ->
          alreadyOwned.owner().equals(incarnation)
              ? new ClaimDecision.Owned()
              : new ClaimDecision.OwnedElsewhere(alreadyOwned.owner());
      case ClaimLog.ClaimResult.Refused refused ->
          new ClaimDecision.Resolved(refusal(call, refused));
    };
  }

  private static RequestResponse refusal(RequestCall call, ClaimLog.ClaimResult.Refused refused) {
    String message =
        refused.message() + " Nothing was sent for this call; retry with the same key.";
    return refused.code() == ResultCode.STALE_REQUEST_KEY
        ? RequestResponse.of(refused.code(), refused.message(), call.requestId())
        : RequestResponse.retryable(
            refused.code(), message, call.requestId(), refused.retryAfterMillis());
  }
}
