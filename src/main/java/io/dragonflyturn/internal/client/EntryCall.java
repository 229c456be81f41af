package io.dragonflyturn.internal.client;

import org.jspecify.annotations.Nullable;

/**
 * One call to an entry.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param body the body as JSON; null for none
 * @param repeatable whether a second run of the call changes nothing more than the first
 * @param timeoutMillis how long to wait for the answer, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record EntryCall(
    String method, String path, byte @Nullable [] body, boolean repeatable, long timeoutMillis) {
  @Override
  public String toString() {
    return method + " " + path;
  }
}
