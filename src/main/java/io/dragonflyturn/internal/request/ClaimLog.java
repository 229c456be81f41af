package io.dragonflyturn.internal.request;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.Failures;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Proposes request claims to the log and reads what the log has recorded about a request. */
final class ClaimLog {
  private final ControlPlane controlPlane;
  private final long retryAfterMillis;

  ClaimLog(ControlPlane controlPlane, long retryAfterMillis) {
    this.controlPlane = controlPlane;
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Returns whether an entry incarnation has shut down for good, with the outcomes of all its
   * requests recorded in the log. The future never fails.
   */
  CompletableFuture<Boolean> hasShutDown(String owner, long nowMillis) {
    return controlPlane
        .propose(ShutdownRecord.query(owner, nowMillis))
        .handle(this::toResult)
        .thenApply(result -> result instanceof ClaimResult.Finished);
  }

  /** Proposes an owner for a request. The future never fails. */
  CompletableFuture<ClaimResult> claim(RequestCall call, String owner, long createdAtMillis) {
    ControlRecord record =
        new ControlRecord.RequestClaimed(call.requestId(), call.customer(), owner, createdAtMillis);
    return controlPlane.propose(record).handle(this::toResult);
  }

  /**
   * Returns the response to a request whose owner cannot be reached, as far as the log knows it.
   */
  static RequestResponse recordedResponse(RequestCall call, ClaimResult result) {
    return switch (result) {
      case ClaimResult.Finished finished when finished.code().isSuccess() ->
          new RequestResponse(
              ResultCode.JOINED, "", call.requestId(), finished.answer(), null, null);
      case ClaimResult.Finished finished ->
          RequestResponse.of(finished.code(), finished.answer(), call.requestId());
      case ClaimResult.Refused refused when refused.code() != ResultCode.STALE_REQUEST_KEY ->
          RequestResponse.retryable(
              ResultCode.OUTCOME_UNKNOWN,
              "The outcome cannot be read at the moment; retry with the same key.",
              call.requestId(),
              refused.retryAfterMillis());
      case ClaimResult.Refused stale -> outcomeUnknown(call);
      case ClaimResult.Accepted accepted -> outcomeUnknown(call);
      case ClaimResult.AlreadyOwned alreadyOwned -> outcomeUnknown(call);
    };
  }

  private static RequestResponse outcomeUnknown(RequestCall call) {
    return RequestResponse.of(
        ResultCode.OUTCOME_UNKNOWN,
        "The owner of the request is unreachable and recorded no outcome;"
            + " the request is not sent again.",
        call.requestId());
  }

  private ClaimResult toResult(@Nullable ProposalOutcome outcome, @Nullable Throwable failure) {
    if (outcome == null) {
      return toRefusal(failure);
    }
    if (outcome.code().isSuccess()) {
      return new ClaimResult.Accepted();
    }
    if (outcome.finishedCode() != null) {
      String answer = outcome.answer();
      return new ClaimResult.Finished(outcome.finishedCode(), answer == null ? "" : answer);
    }
    String owner = outcome.owner();
    return outcome.code() == ResultCode.DUPLICATE && owner != null
        ? new ClaimResult.AlreadyOwned(owner)
        : new ClaimResult.Refused(outcome.code(), outcome.message(), retryAfterMillis);
  }

  private ClaimResult toRefusal(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    ResultCode code =
        cause instanceof DragonflyturnException known
                && known.code().certainty() == ResultCode.Certainty.NOT_RUN
            ? known.code()
            : ResultCode.LOG_UNAVAILABLE;
    return new ClaimResult.Refused(
        code, "The claim could not be appended to the log.", retryAfterMillis);
  }

  /** The response of the log to a claim. */
  sealed interface ClaimResult {
    /** The proposed owner now owns the request. */
    record Accepted() implements ClaimResult {}

    /** The request has an owner and no outcome yet. */
    record AlreadyOwned(String owner) implements ClaimResult {}

    /** The request has an outcome. */
    record Finished(ResultCode code, String answer) implements ClaimResult {}

    /** The claim was not accepted, or it is unknown whether it was. */
    record Refused(ResultCode code, String message, long retryAfterMillis) implements ClaimResult {}
  }
}
