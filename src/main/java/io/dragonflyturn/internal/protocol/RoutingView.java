package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.model.Worker;
import java.util.List;
import java.util.Map;

/**
 * The data that an entry needs to route requests, as sent by a scheduler replica.
 *
 * @param version increases with each change
 * @param configurationVersion the version of the configuration that this view is based on
 * @param logAgeMillis how long ago the replica last heard from the log, in milliseconds
 * @param outageForAll whether neither the replica nor any of its peers can reach the log
 * @param customers the names of all customers
 * @param targets the workers that may receive requests
 * @param credits the request slots allotted to the entry, by worker name
 * @param entries the addresses of live entries, to which requests can be forwarded, by incarnation
 */
public record RoutingView(
    long version,
    long configurationVersion,
    long logAgeMillis,
    boolean outageForAll,
    List<String> customers,
    List<Worker> targets,
    Map<String, Integer> credits,
    Map<String, String> entries) {
  /** An empty view whose log age exceeds every freshness bound. */
  public static final RoutingView NONE =
      new RoutingView(-1, -1, Long.MAX_VALUE / 4, false, List.of(), List.of(), Map.of(), Map.of());

  /** Creates a view with immutable copies of the collections. */
  public RoutingView {
    customers = List.copyOf(customers);
    targets = List.copyOf(targets);
    credits = Map.copyOf(credits);
    entries = Map.copyOf(entries);
  }
}
