package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.time.Duration;

/** Words the answers of an entry that does not send a request, or does not know its outcome. */
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

  RequestResponse callerGone(RequestCall call) {
    return RequestResponse.of(
        ResultCode.CANCELLED_BEFORE_RUN,
        "The caller went away before the request was sent.",
        call.requestId());
  }

  RequestResponse stopping(RequestCall call) {
    return retryable(call, ResultCode.SHUTTING_DOWN, "This entry stops; ask another one.");
  }

  RequestResponse tooManyOutcomes(RequestCall call) {
    return retryable(call, ResultCode.OVERLOADED, "Too many outcomes wait for the log.");
  }

  RequestResponse noTarget(RequestCall call) {
    return retryable(call, ResultCode.NO_TARGET, SlotQueue.NO_TARGET_MESSAGE);
  }

  RequestResponse noAnswerInTime(RequestCall call) {
    return retryable(
        call,
        ResultCode.OUTCOME_UNKNOWN,
        "No answer came before the deadline; ask again with the same key for the outcome.");
  }

  /** Returns the answer in place of a refusal, where an earlier call may have been sent. */
  RequestResponse mayHaveRun(RequestCall call, RequestResponse refusal) {
    return retryable(
        call,
        ResultCode.OUTCOME_UNKNOWN,
        refusal.message() + " An earlier call may have run; ask again with the same key.");
  }

  private RequestResponse retryable(RequestCall call, ResultCode code, String message) {
    return RequestResponse.retryable(code, message, call.requestId(), retryAfterMillis);
  }
}
