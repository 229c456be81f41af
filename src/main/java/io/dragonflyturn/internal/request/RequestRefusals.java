package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.time.Duration;

/**
 * Creates the responses for requests that this entry does not send or whose outcome it does not
 * know.
 */
final class RequestRefusals {
  private final long retryAfterMillis;

  RequestRefusals(Duration retryAfter) {
    this.retryAfterMillis = retryAfter.toMillis();
  }

  RequestResponse deadlineBeforeSend(RequestCall call) {
    return RequestResponse.of(
        ResultCode.DEADLINE_BEFORE_SEND,
        "The deadline passed before the request was sent; allow more time.",
        call.requestId());
  }

  RequestResponse callerDisconnected(RequestCall call) {
    return RequestResponse.of(
        ResultCode.CANCELLED_BEFORE_RUN,
        "The caller disconnected before the request was sent.",
        call.requestId());
  }

  RequestResponse shuttingDown(RequestCall call) {
    return retryable(
        call, ResultCode.SHUTTING_DOWN, "This entry is shutting down; use another entry.");
  }

  RequestResponse tooManyOutcomes(RequestCall call) {
    return retryable(
        call, ResultCode.OVERLOADED, "Too many outcomes are waiting to be recorded in the log.");
  }

  RequestResponse noTarget(RequestCall call) {
    return retryable(call, ResultCode.NO_TARGET, SlotQueue.NO_TARGET_MESSAGE);
  }

  RequestResponse noResponseInTime(RequestCall call) {
    return retryable(
        call,
        ResultCode.OUTCOME_UNKNOWN,
        "No answer arrived before the deadline; retry with the same key to get the outcome.");
  }

  /**
   * Replaces a refusal by an unknown outcome, because an earlier call may have sent the request.
   */
  RequestResponse earlierCallMayHaveRun(RequestCall call, RequestResponse refusal) {
    return retryable(
        call,
        ResultCode.OUTCOME_UNKNOWN,
        refusal.message() + " An earlier call may have run; retry with the same key.");
  }

  private RequestResponse retryable(RequestCall call, ResultCode code, String message) {
    return RequestResponse.retryable(code, message, call.requestId(), retryAfterMillis);
  }
}
