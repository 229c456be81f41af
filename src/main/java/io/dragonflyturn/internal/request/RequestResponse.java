package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a request.
 *
 * @param code what happened
 * @param message what happened and how to correct it; empty on success
 * @param requestId the request that is answered
 * @param answer the target's whole answer; null where there is none
 * @param target the name of the worker that answered; null where none did
 * @param retryAfterMillis when a refused call may be tried again, in milliseconds; null for never
 */
public record RequestResponse(
    ResultCode code,
    String message,
    String requestId,
    @Nullable String answer,
    @Nullable String target,
    @Nullable Long retryAfterMillis) {

  /** Returns an answer without content that is not to be tried again. */
  public static RequestResponse of(ResultCode code, String message, String requestId) {
    return new RequestResponse(code, message, requestId, null, null, null);
  }

  /** Returns a refusal that may be tried again after a time in milliseconds. */
  public static RequestResponse retryable(
      ResultCode code, String message, String requestId, long retryAfterMillis) {
    return new RequestResponse(code, message, requestId, null, null, retryAfterMillis);
  }

  /** Returns whether the caller may conclude that the request did not run. */
  boolean saysNotRun() {
    return code.certainty() == ResultCode.Certainty.NOT_RUN;
  }
}
