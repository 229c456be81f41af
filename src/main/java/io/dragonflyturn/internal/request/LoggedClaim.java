package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.util.concurrent.CompletableFuture;

/** Claims a key that the caller chose: the order of the log decides the owner. */
final class LoggedClaim implements RequestClaim {
  private final ClaimLog log;
  private final String incarnation;

  LoggedClaim(ClaimLog log, String incarnation) {
    this.log = log;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<ClaimDecision> acquire(RequestCall call) {
    return log.claim(call, incarnation, call.createdAtMillis())
        .thenApply(result -> decide(call, result));
  }

  @Override
  public CompletableFuture<ClaimDecision> takeOver(RequestCall call, String owner) {
    return log.claim(call, owner, call.createdAtMillis())
        .thenApply(result -> new ClaimDecision.Settled(ClaimLog.recordedAnswer(call, result)));
  }

  @Override
  public void releaseUnsent(RequestCall call) {
    // The log keeps this entry as the owner, and the ledger forgets the run: a retry may send.
  }

  @Override
  public boolean mayHaveRun(RequestCall call) {
    return false;
  }

  @Override
  public boolean remembersUse() {
    return false;
  }

  private ClaimDecision decide(RequestCall call, ClaimLog.Result result) {
    return switch (result) {
      case ClaimLog.Result.Accepted accepted -> new ClaimDecision.Owned();
      case ClaimLog.Result.Finished finished ->
          new ClaimDecision.Settled(ClaimLog.recordedAnswer(call, finished));
      case ClaimLog.Result.Taken taken ->
          taken.owner().equals(incarnation)
              ? new ClaimDecision.Owned()
              : new ClaimDecision.OwnedElsewhere(taken.owner());
      case ClaimLog.Result.Refused refused -> new ClaimDecision.Settled(refusal(call, refused));
    };
  }

  private static RequestResponse refusal(RequestCall call, ClaimLog.Result.Refused refused) {
    String message = refused.message() + " This call sent nothing; ask again with the same key.";
    return refused.code() == ResultCode.STALE_REQUEST_KEY
        ? RequestResponse.of(refused.code(), refused.message(), call.requestId())
        : RequestResponse.retryable(
            refused.code(), message, call.requestId(), refused.retryAfterMillis());
  }
}
