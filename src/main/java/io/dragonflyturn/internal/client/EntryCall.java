package io.dragonflyturn.internal.client;

import org.jspecify.annotations.Nullable;

/**
 * An HTTP call to an entry.
 *
 * @param method the HTTP method
 * @param path the path with its query string
 * @param body the JSON body, or null for none
 * @param idempotent whether the call may safely be executed more than once
 * @param timeoutMillis the time to wait for the response, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record EntryCall(
    String method, String path, byte @Nullable [] body, boolean idempotent, long timeoutMillis) {
  @Override
  public String toString() {
    return method + " " + path;
  }
}
