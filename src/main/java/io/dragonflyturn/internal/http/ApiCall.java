package io.dragonflyturn.internal.http;

import java.util.List;
import java.util.Map;

/**
 * An authenticated call of the HTTP API with its complete body.
 *
 * @param method the HTTP method
 * @param path the decoded segments of the path after {@code /v1/}
 * @param query the query parameters
 * @param principal the authenticated caller
 * @param body the complete body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent")
public record ApiCall(
    String method, List<String> path, Map<String, String> query, Principal principal, byte[] body) {
  /** Creates a call with immutable copies of the collections. */
  public ApiCall {
    path = List.copyOf(path);
    query = Map.copyOf(query);
  }

  /** Returns whether the method and the path match. {@code *} matches any single segment. */
  public boolean matches(String expectedMethod, String... expectedPath) {
    if (!method.equals(expectedMethod) || path.size() != expectedPath.length) {
      return false;
    }
    for (int index = 0; index < expectedPath.length; index++) {
      if (!expectedPath[index].equals("*") && !expectedPath[index].equals(path.get(index))) {
        return false;
      }
    }
    return true;
  }
}
