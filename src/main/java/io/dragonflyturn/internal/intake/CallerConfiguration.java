package io.dragonflyturn.internal.intake;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One version of the configuration with which API calls are routed and authenticated.
 *
 * @param version the version number, which increases with each change
 * @param queues the queues that callers can submit to
 * @param customersByApiKey the name of the customer that each API key belongs to
 */
public record CallerConfiguration(
    long version, List<CallerQueue> queues, Map<String, String> customersByApiKey) {
  /** Copies the collections. */
  public CallerConfiguration {
    queues = List.copyOf(queues);
    customersByApiKey = Map.copyOf(customersByApiKey);
  }

  /**
   * Returns the queue of a host whose path prefix is the longest match for a path; null if none
   * matches.
   */
  public @Nullable CallerQueue findQueue(String host, String path) {
    CallerQueue longestMatch = null;
    for (CallerQueue queue : queues) {
      boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
      if (matches
          && (longestMatch == null
              || queue.pathPrefix().length() > longestMatch.pathPrefix().length())) {
        longestMatch = queue;
      }
    }
    return longestMatch;
  }
}
