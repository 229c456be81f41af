package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.Failures;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the responses of the HTTP API. */
final class ApiResponses {
  private static final long MILLIS_PER_SECOND = 1_000;

  private ApiResponses() {}

  /** Writes a response and completes the callback when it has been sent. */
  static void write(Response response, Callback callback, ResultCode code, ApiBody body) {
    response.setStatus(code.httpStatus());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    Long retryAfterMillis = body.retryAfterMillis();
    if (retryAfterMillis != null) {
      long seconds = Math.ceilDiv(retryAfterMillis, MILLIS_PER_SECOND);
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
    response.write(true, ByteBuffer.wrap(JsonCodec.write(body)), callback);
  }

  /** Writes the error response for a failure. */
  static void writeFailure(Response response, Callback callback, Throwable failure) {
    Throwable cause = Failures.unwrap(failure);
    ResultCode code =
        cause instanceof DragonflyturnException known ? known.code() : ResultCode.INTERNAL_ERROR;
    String message =
        cause instanceof DragonflyturnException
            ? String.valueOf(cause.getMessage())
            : "The call failed because of an internal error; retry with the same key.";
    write(response, callback, code, ApiBody.of(code, message, null));
  }
}
