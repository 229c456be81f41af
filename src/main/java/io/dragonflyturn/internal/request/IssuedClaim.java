package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.RequestIdentifiers.IssuedIdentifier;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Claims an identifier that an entry issued: the issuing incarnation is the owner. */
final class IssuedClaim implements RequestClaim {
  private final RequestIdentifiers identifiers;
  private final ClaimLog log;
  private final String incarnation;
  private final InstantSource clock;

  IssuedClaim(
      RequestIdentifiers identifiers, ClaimLog log, String incarnation, InstantSource clock) {
    this.identifiers = identifiers;
    this.log = log;
    this.incarnation = incarnation;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ClaimDecision> acquire(RequestCall call) {
    Optional<IssuedIdentifier> identifier = RequestIdentifiers.parse(call.requestId());
    if (identifier.isEmpty()) {
      return settled(neverIssued(call));
    }
    if (!identifier.get().issuer().equals(incarnation)) {
      return CompletableFuture.completedFuture(
          new ClaimDecision.OwnedElsewhere(identifier.get().issuer()));
    }
    return switch (identifiers.use(call.customer(), identifier.get())) {
      case FIRST_USE -> CompletableFuture.completedFuture(new ClaimDecision.Owned());
      case USED_BEFORE, FORGOTTEN ->
          CompletableFuture.completedFuture(new ClaimDecision.OwnedElsewhere(incarnation));
      case EXPIRED_UNUSED ->
          settled(
              RequestResponse.of(
                  ResultCode.STALE_REQUEST_KEY,
                  "The identifier was not used in time; ask for new ones.",
                  call.requestId()));
      case NEVER_ISSUED -> settled(neverIssued(call));
    };
  }

  @Override
  public CompletableFuture<ClaimDecision> takeOver(RequestCall call, String owner) {
    return log.isClosed(owner, clock.millis())
        .thenCompose(closed -> closed ? claimUnused(call, owner) : lookUp(call, owner));
  }

  @Override
  public void releaseUnsent(RequestCall call) {
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
  public boolean remembersUse() {
    return true;
  }

  /** The owner has stopped for good and recorded all that it sent: the log decides from now on. */
  private CompletableFuture<ClaimDecision> claimUnused(RequestCall call, String owner) {
    return log.claim(call, incarnation, clock.millis())
        .thenApply(
            result ->
                switch (result) {
                  case ClaimLog.Result.Accepted accepted -> new ClaimDecision.Owned();
                  case ClaimLog.Result.Taken taken when taken.owner().equals(incarnation) ->
                      new ClaimDecision.Owned();
                  case ClaimLog.Result.Taken taken when !taken.owner().equals(owner) ->
                      new ClaimDecision.OwnedElsewhere(taken.owner());
                  default -> new ClaimDecision.Settled(ClaimLog.recordedAnswer(call, result));
                });
  }

  private CompletableFuture<ClaimDecision> lookUp(RequestCall call, String owner) {
    return log.claim(call, owner, clock.millis())
        .thenApply(result -> new ClaimDecision.Settled(ClaimLog.recordedAnswer(call, result)));
  }

  private static CompletableFuture<ClaimDecision> settled(RequestResponse answer) {
    return CompletableFuture.completedFuture(new ClaimDecision.Settled(answer));
  }

  private static RequestResponse neverIssued(RequestCall call) {
    return RequestResponse.of(
        ResultCode.MALFORMED_INPUT,
        "The identifier was not issued to this customer; ask for one at /v1/request-ids.",
        call.requestId());
  }
}
