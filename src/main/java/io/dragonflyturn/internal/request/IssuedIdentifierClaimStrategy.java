package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.RequestIdentifiers.IssuedIdentifier;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Claims requests by identifiers that an entry issued. The issuing incarnation owns the request.
 */
final class IssuedIdentifierClaimStrategy implements ClaimStrategy {
  private final RequestIdentifiers identifiers;
  private final ClaimLog claimLog;
  private final String incarnation;
  private final InstantSource clock;

  IssuedIdentifierClaimStrategy(
      RequestIdentifiers identifiers, ClaimLog claimLog, String incarnation, InstantSource clock) {
    this.identifiers = identifiers;
    this.claimLog = claimLog;
    this.incarnation = incarnation;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ClaimDecision> acquire(RequestCall call) {
    Optional<IssuedIdentifier> identifier = RequestIdentifiers.parse(call.requestId());
    if (identifier.isEmpty()) {
      return resolved(notIssued(call));
    }
    if (!identifier.get().issuer().equals(incarnation)) {
      return CompletableFuture.completedFuture(
          new ClaimDecision.OwnedElsewhere(identifier.get().issuer()));
    }
    return switch (identifiers.markUsed(call.customer(), identifier.get())) {
      case FIRST_USE -> CompletableFuture.completedFuture(new ClaimDecision.Owned());
      case ALREADY_USED, EVICTED ->
          CompletableFuture.completedFuture(new ClaimDecision.OwnedElsewhere(incarnation));
      case EXPIRED ->
          resolved(
              RequestResponse.of(
                  ResultCode.STALE_REQUEST_KEY,
                  "The identifier expired before its first use; request a new one.",
                  call.requestId()));
      case NOT_ISSUED -> resolved(notIssued(call));
    };
  }

  @Override
  public CompletableFuture<ClaimDecision> takeOver(RequestCall call, String owner) {
    return claimLog
        .hasShutDown(owner, clock.millis())
        .thenCompose(
            shutDown -> shutDown ? claimAfterOwnerShutdown(call, owner) : readOutcome(call, owner));
  }

  @Override
  public void releaseClaim(RequestCall call) {
    RequestIdentifiers.parse(call.requestId())
        .filter(identifier -> identifier.issuer().equals(incarnation))
        .ifPresent(identifiers::markUnused);
  }

  @Override
  public boolean mayHaveRun(RequestCall call) {
    return RequestIdentifiers.parse(call.requestId())
        .filter(
            identifier ->
                !identifier.issuer().equals(incarnation) || !identifiers.isUnused(identifier))
        .isPresent();
  }

  @Override
  public boolean tracksUsedKeys() {
    return true;
  }

  /**
   * Claims a request whose owner has shut down for good. The owner recorded the outcomes of all
   * requests that it sent, so from now on the log decides.
   */
  private CompletableFuture<ClaimDecision> claimAfterOwnerShutdown(RequestCall call, String owner) {
    return claimLog
        .claim(call, incarnation, clock.millis())
        .thenApply(
            result ->
                switch (result) {
                  case ClaimLog.ClaimResult.Accepted accepted -> new ClaimDecision.Owned();
                  case ClaimLog.ClaimResult.AlreadyOwned alreadyOwned
                      when alreadyOwned.owner().equals(incarnation) ->
                      new ClaimDecision.Owned();
                  case ClaimLog.ClaimResult.AlreadyOwned alreadyOwned
                      when !alreadyOwned.owner().equals(owner) ->
                      new ClaimDecision.OwnedElsewhere(alreadyOwned.owner());
                  default -> new ClaimDecision.Resolved(ClaimLog.recordedResponse(call, result));
                });
  }

  /**
   * Claims a request on behalf of its owner. The log responds with the recorded outcome, if there
   * is one.
   */
  private CompletableFuture<ClaimDecision> readOutcome(RequestCall call, String owner) {
    return claimLog
        .claim(call, owner, clock.millis())
        .thenApply(result -> new ClaimDecision.Resolved(ClaimLog.recordedResponse(call, result)));
  }

  private static CompletableFuture<ClaimDecision> resolved(RequestResponse response) {
    return CompletableFuture.completedFuture(new ClaimDecision.Resolved(response));
  }

  private static RequestResponse notIssued(RequestCall call) {
    return RequestResponse.of(
        ResultCode.MALFORMED_INPUT,
        "The identifier was not issued to this customer; request one at /v1/request-ids.",
        call.requestId());
  }
}
