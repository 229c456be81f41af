package io.dragonflyturn.standin;

import io.dragonflyturn.internal.http.JsonCodec;
import org.jspecify.annotations.Nullable;

/**
 * HTTP response of a stand-in.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the content
 * @param content the body; null closes the connection without a response
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandinAnswer(int status, String contentType, byte @Nullable [] content) {
  private static final String JSON = "application/json";
  private static final String BYTES = "application/octet-stream";

  /** Closes the connection without a response, which simulates a lost response. */
  public static final StandinAnswer LOST = new StandinAnswer(0, JSON, null);

  /** Creates a successful response with a value as JSON. */
  public static StandinAnswer json(Object value) {
    return json(200, value);
  }

  /** Creates a response with a status code and a value as JSON. */
  public static StandinAnswer json(int status, Object value) {
    return new StandinAnswer(status, JSON, JsonCodec.write(value));
  }

  /** Creates a successful response with binary content. */
  public static StandinAnswer bytes(byte[] content) {
    return new StandinAnswer(200, BYTES, content);
  }

  /** Creates an error response. */
  public static StandinAnswer error(int status, String message) {
    return json(status, new Problem(message));
  }

  /** Body of an error response. */
  public record Problem(String message) {}
}
