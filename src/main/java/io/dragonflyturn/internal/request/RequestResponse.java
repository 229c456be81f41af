package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The response of an entry to a request.
 *
 * @param code the result code
 * @param message what happened and how to correct it; empty on success
 * @param requestId the identifier of the request
 * @param answer the complete answer of the target, or null if there is none
 * @param target the name of the worker that answered, or null if none did
 * @param retryAfterMillis the delay before a refused call may be retried, in milliseconds; null if
 *     it must not be retried
 */
public record RequestResponse(
    ResultCode code,
    String message,
    String requestId,
    @Nullable String answer,
    @Nullable String target,
    @Nullable Long retryAfterMillis) {

  /** Creates a response without an answer that must not be retried. */
  public static RequestResponse of(ResultCode code, String message, String requestId) {
    return new RequestResponse(code, message, requestId, null, null, null);
  }

  /** Creates a refusal that may be retried after a delay in milliseconds. */
  public static RequestResponse retryable(
      ResultCode code, String message, String requestId, long retryAfterMillis) {
    return new RequestResponse(code, message, requestId, null, null, retryAfterMillis);
  }

  /** Returns whether the response guarantees that the request did not run. */
  boolean saysNotRun() {
    return code.certainty() == ResultCode.Certainty.NOT_RUN;
  }
}
