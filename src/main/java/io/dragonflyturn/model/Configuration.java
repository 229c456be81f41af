package io.dragonflyturn.model;

import java.util.List;
import java.util.Map;

/**
 * The configuration that operators apply: customers, failure domains, labels of instances, and
 * placement rules.
 *
 * @param customers all customers
 * @param failureDomains all failure domains
 * @param instanceLabels labels that operators add to workers, by worker name
 * @param rules all placement rules
 */
public record Configuration(
    List<Customer> customers,
    List<FailureDomain> failureDomains,
    Map<String, Map<String, String>> instanceLabels,
    List<PlacementRule> rules) {
  /** A configuration without customers, failure domains, labels, and rules. */
  public static final Configuration EMPTY =
      new Configuration(List.of(), List.of(), Map.of(), List.of());

  /** Copies the collections; null becomes an empty collection. */
  public Configuration {
    customers = Fields.copy(customers);
    failureDomains = Fields.copy(failureDomains);
    instanceLabels = Fields.copy(instanceLabels);
    rules = Fields.copy(rules);
  }
}
