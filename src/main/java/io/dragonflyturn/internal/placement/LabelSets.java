package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Worker;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Builds the labels that selectors are matched against: the configured labels and implicit ones.
 * Customers, jobs, failure domains and workers all have a {@code name}; a worker also has {@code
 * failure-domain} and {@code rack}, and a job has {@code urgency}.
 */
final class LabelSets {
  private static final String NAME = "name";

  private LabelSets() {}

  static Map<String, String> of(Customer customer) {
    return merge(customer.labels(), Map.of(NAME, customer.name()));
  }

  static Map<String, String> of(JobSpecification job) {
    String urgency = job.urgency().name().toLowerCase(Locale.ROOT);
    return merge(job.labels(), Map.of(NAME, job.id(), "urgency", urgency));
  }

  static Map<String, String> of(FailureDomain domain) {
    return merge(domain.labels(), Map.of(NAME, domain.name()));
  }

  static Map<String, String> of(Worker worker, Configuration configuration) {
    Map<String, String> configured =
        configuration.instanceLabels().getOrDefault(worker.name(), Map.of());
    Map<String, String> implied =
        Map.of(
            NAME, worker.name(), "failure-domain", worker.failureDomain(), "rack", worker.rack());
    return merge(merge(worker.labels(), configured), implied);
  }

  private static Map<String, String> merge(
      Map<String, String> base, Map<String, String> overrides) {
    Map<String, String> labels = new HashMap<>(base);
    labels.putAll(overrides);
    return labels;
  }
}
