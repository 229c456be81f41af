package io.dragonflyturn.standin;

import io.dragonflyturn.internal.http.JsonCodec;
import org.jspecify.annotations.Nullable;

/**
 * An answer of a stand-in's HTTP interface.
 *
 * @param status the HTTP status
 * @param contentType the type of the content
 * @param content the content; null cuts the connection without an answer
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandinAnswer(int status, String contentType, byte @Nullable [] content) {
  private static final String JSON = "application/json";
  private static final String BYTES = "application/octet-stream";

  /** The connection is cut without an answer. */
  public static final StandinAnswer LOST = new StandinAnswer(0, JSON, null);

  /** Answers with a value as JSON. */
  public static StandinAnswer json(Object value) {
    return json(200, value);
  }

  /** Answers with a status and a value as JSON. */
  public static StandinAnswer json(int status, Object value) {
    return new StandinAnswer(status, JSON, JsonCodec.write(value));
  }

  /** Answers with bytes. */
  public static StandinAnswer bytes(byte[] content) {
    return new StandinAnswer(200, BYTES, content);
  }

  /** Answers that a call was not served. */
  public static StandinAnswer error(int status, String message) {
    return json(status, new Problem(message));
  }

  /** Why a call was not served. */
  public record Problem(String message) {}
}
