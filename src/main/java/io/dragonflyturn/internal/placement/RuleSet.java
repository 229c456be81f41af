package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.PlacementRule;
import io.dragonflyturn.model.RuleEffect;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The placement rules of a configuration, resolved to the workers that each job may use. */
final class RuleSet {
  private final Map<String, Customer> customers = new HashMap<>();
  private final List<CompiledRule> rules = new ArrayList<>();
  private final BitSet allWorkers = new BitSet();

  RuleSet(Configuration configuration, Topology topology) {
    allWorkers.set(0, topology.size());
    for (Customer customer : configuration.customers()) {
      customers.put(customer.name(), customer);
    }
    Map<String, FailureDomain> domains = new HashMap<>();
    for (FailureDomain domain : configuration.failureDomains()) {
      domains.put(domain.name(), domain);
    }
    for (PlacementRule rule : configuration.rules()) {
      rules.add(compile(rule, configuration, domains, topology));
    }
  }

  /** Returns the indexes of the workers on which the rules allow the job to run. */
  BitSet allowedWorkers(JobSpecification job) {
    if (rules.isEmpty()) {
      return allWorkers;
    }
    return restrict(customerLabels(job.customer()), LabelSets.of(job));
  }

  /** Returns the indexes of the workers allowed for a job of the customer that has no labels. */
  BitSet allowedWorkers(Customer customer) {
    return rules.isEmpty() ? allWorkers : restrict(LabelSets.of(customer), Map.of());
  }

  /** Returns the names of the rules that select the job. */
  List<String> namesFor(JobSpecification job) {
    Map<String, String> customerLabels = customerLabels(job.customer());
    Map<String, String> jobLabels = LabelSets.of(job);
    return rules.stream()
        .filter(rule -> rule.selects(customerLabels, jobLabels))
        .map(rule -> rule.rule().name())
        .toList();
  }

  private Map<String, String> customerLabels(String name) {
    Customer customer = customers.get(name);
    return customer == null ? Map.of("name", name) : LabelSets.of(customer);
  }

  private BitSet restrict(Map<String, String> customer, Map<String, String> job) {
    BitSet allowedWorkers = (BitSet) allWorkers.clone();
    for (CompiledRule rule : rules) {
      if (rule.requires(customer, job)) {
        allowedWorkers.and(rule.workers());
      } else if (rule.excludes(customer, job)) {
        allowedWorkers.andNot(rule.workers());
      }
    }
    return allowedWorkers;
  }

  private static CompiledRule compile(
      PlacementRule rule,
      Configuration configuration,
      Map<String, FailureDomain> domains,
      Topology topology) {
    Selector domainSelector = Selector.parse(rule.failureDomains());
    Selector instanceSelector = Selector.parse(rule.instances());
    BitSet workers = new BitSet();
    for (int index = 0; index < topology.size(); index++) {
      Worker worker = topology.worker(index);
      if (domainSelector.matches(domainLabels(worker, domains))
          && instanceSelector.matches(LabelSets.of(worker, configuration))) {
        workers.set(index);
      }
    }
    return new CompiledRule(
        rule, Selector.parse(rule.customers()), Selector.parse(rule.jobs()), workers);
  }

  private static Map<String, String> domainLabels(
      Worker worker, Map<String, FailureDomain> domains) {
    FailureDomain domain = domains.get(worker.failureDomain());
    return domain == null ? Map.of("name", worker.failureDomain()) : LabelSets.of(domain);
  }

  private record CompiledRule(
      PlacementRule rule, Selector customers, Selector jobs, BitSet workers) {
    boolean selects(Map<String, String> customerLabels, Map<String, String> jobLabels) {
      return customers.matches(customerLabels) && jobs.matches(jobLabels);
    }

    boolean requires(Map<String, String> customerLabels, Map<String, String> jobLabels) {
      return rule.effect() == RuleEffect.MUST && selects(customerLabels, jobLabels);
    }

    boolean excludes(Map<String, String> customerLabels, Map<String, String> jobLabels) {
      boolean selected = selects(customerLabels, jobLabels);
      return (rule.effect() == RuleEffect.ONLY && !selected)
          || (rule.effect() == RuleEffect.MUST_NOT && selected);
    }
  }
}
