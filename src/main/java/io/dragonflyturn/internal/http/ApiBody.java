package io.dragonflyturn.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.dragonflyturn.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The JSON body of every response of the HTTP API.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param message what happened and how to correct it; empty on success
 * @param retryAfterMillis the delay after which a rejected call may be retried, in milliseconds;
 *     null if it must not be retried
 * @param data the result of the call; null if there is none
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ApiBody(
    int code, String name, String message, @Nullable Long retryAfterMillis, @Nullable Object data) {

  /** Returns the body of a successful response. */
  public static ApiBody success(Object data) {
    return new ApiBody(ResultCode.OK.number(), ResultCode.OK.name(), "", null, data);
  }

  /** Returns a body with the given code, without a retry delay. */
  public static ApiBody of(ResultCode code, String message, @Nullable Object data) {
    return new ApiBody(code.number(), code.name(), message, null, data);
  }
}
