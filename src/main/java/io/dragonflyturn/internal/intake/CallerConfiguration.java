package io.dragonflyturn.internal.intake;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A version of the configuration that calls are judged by.
 *
 * @param version rises with each change
 * @param queues the queues
 * @param customersByKey the customer of each key
 */
public record CallerConfiguration(
    long version, List<CallerQueue> queues, Map<String, String> customersByKey) {
  /** Keeps its own copies. */
  public CallerConfiguration {
    queues = List.copyOf(queues);
    customersByKey = Map.copyOf(customersByKey);
  }

  /**
   * Returns the queue with the longest prefix that a path begins with; null where there is none.
   */
  public @Nullable CallerQueue queueOf(String host, String path) {
    CallerQueue best = null;
    for (CallerQueue queue : queues) {
      boolean fits = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
      if (fits && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
        best = queue;
      }
    }
    return best;
  }
}
