package io.dragonflyturn.internal.placement;

import io.dragonflyturn.internal.placement.ConfigurationProblem.Severity;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.PlacementRule;
import io.dragonflyturn.model.RuleEffect;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** Validates a configuration before it is accepted. */
public final class ConfigurationValidator {
  private final Configuration configuration;
  private final List<Worker> workers;
  private final List<ConfigurationProblem> problems = new ArrayList<>();

  private ConfigurationValidator(Configuration configuration, List<Worker> workers) {
    this.configuration = configuration;
    this.workers = workers;
  }

  /**
   * Checks names, selectors, rules, quotas and guarantees.
   *
   * @param workers the workers that are currently listed
   * @return the problems; the configuration is acceptable if none is an error
   */
  public static List<ConfigurationProblem> validate(
      Configuration configuration, List<Worker> workers) {
    ConfigurationValidator validator = new ConfigurationValidator(configuration, workers);
    validator.checkNames();
    validator.checkDomains();
    validator.checkQuotas();
    validator.checkSelectors();
    if (validator.problems.stream().noneMatch(problem -> problem.severity() == Severity.ERROR)) {
      validator.checkEveryCustomerHasWorkers();
    }
    if (validator.problems.stream().noneMatch(problem -> problem.severity() == Severity.ERROR)) {
      validator.problems.addAll(GuaranteeChecker.check(configuration, workers));
    }
    return List.copyOf(validator.problems);
  }

  private void checkNames() {
    checkUnique("customers", configuration.customers(), Customer::name);
    checkUnique("failureDomains", configuration.failureDomains(), FailureDomain::name);
    checkUnique("rules", configuration.rules(), PlacementRule::name);
  }

  private <T> void checkUnique(String path, List<T> items, Function<T, String> name) {
    Set<String> names = new HashSet<>();
    for (int index = 0; index < items.size(); index++) {
      String itemName = name.apply(items.get(index));
      String itemPath = path + "[" + index + "].name";
      if (itemName.isBlank()) {
        problems.add(ConfigurationProblem.error(itemPath, "the name is empty; give a name"));
      } else if (!names.add(itemName)) {
        problems.add(
            ConfigurationProblem.error(
                itemPath, "the name " + itemName + " is used twice; names must be unique"));
      }
    }
  }

  private void checkDomains() {
    Set<String> configured = new HashSet<>();
    configuration.failureDomains().forEach(domain -> configured.add(domain.name()));
    Set<String> unknown = new HashSet<>();
    for (Worker worker : workers) {
      if (!configured.contains(worker.failureDomain()) && unknown.add(worker.failureDomain())) {
        problems.add(
            ConfigurationProblem.warning(
                "failureDomains",
                "workers belong to failure domain "
                    + worker.failureDomain()
                    + ", which is not configured; add it so that it can be taken out"));
      }
    }
    for (String name : configuration.instanceLabels().keySet()) {
      if (workers.stream().noneMatch(worker -> worker.name().equals(name))) {
        problems.add(
            ConfigurationProblem.warning(
                "instanceLabels." + name, "no listed instance has this name; check the spelling"));
      }
    }
  }

  private void checkQuotas() {
    for (int index = 0; index < configuration.customers().size(); index++) {
      Customer customer = configuration.customers().get(index);
      int quota = customer.quotaAccelerators();
      if (quota < 0) {
        problems.add(
            ConfigurationProblem.error(
                "customers[" + index + "].quotaAccelerators",
                "the quota is " + quota + "; use 0 for no limit or a positive number"));
      } else if (quota > 0 && quota < customer.guaranteedAccelerators()) {
        problems.add(
            ConfigurationProblem.error(
                "customers[" + index + "].quotaAccelerators",
                "the quota of "
                    + quota
                    + " is below the guarantee of "
                    + customer.guaranteedAccelerators()
                    + " accelerators; raise the quota or reduce the guarantee"));
      }
    }
  }

  private void checkSelectors() {
    for (int index = 0; index < configuration.rules().size(); index++) {
      PlacementRule rule = configuration.rules().get(index);
      String path = "rules[" + index + "].";
      checkSelector(path + "customers", rule.customers(), this::matchesCustomer, "customer");
      checkSelector(path + "jobs", rule.jobs(), selector -> true, "job");
      checkSelector(
          path + "failureDomains", rule.failureDomains(), this::matchesDomain, "failure domain");
      checkSelector(path + "instances", rule.instances(), this::matchesInstance, "instance");
    }
  }

  private void checkSelector(String path, String text, Predicate<Selector> matched, String kind) {
    try {
      Selector selector = Selector.parse(text);
      if (!selector.isEmpty() && !matched.test(selector)) {
        problems.add(
            ConfigurationProblem.error(
                path,
                "the selector '"
                    + text
                    + "' matches no "
                    + kind
                    + "; correct it or remove the rule"));
      }
    } catch (SelectorException exception) {
      problems.add(ConfigurationProblem.error(path, exception.detail()));
    }
  }

  private boolean matchesCustomer(Selector selector) {
    return configuration.customers().stream().map(LabelSets::of).anyMatch(selector::matches);
  }

  private boolean matchesDomain(Selector selector) {
    return configuration.failureDomains().stream().map(LabelSets::of).anyMatch(selector::matches);
  }

  private boolean matchesInstance(Selector selector) {
    return workers.stream()
        .map(worker -> LabelSets.of(worker, configuration))
        .anyMatch(selector::matches);
  }

  private void checkEveryCustomerHasWorkers() {
    RuleSet rules = new RuleSet(configuration, new Topology(workers));
    for (int index = 0; index < configuration.customers().size(); index++) {
      Customer customer = configuration.customers().get(index);
      if (!workers.isEmpty() && rules.allowedWorkers(customer).isEmpty()) {
        problems.add(
            ConfigurationProblem.error(
                "customers[" + index + "]",
                "the rules "
                    + restrictingRules(customer)
                    + " together leave customer "
                    + customer.name()
                    + " no worker; relax one of them"));
      }
    }
  }

  private List<String> restrictingRules(Customer customer) {
    Map<String, String> labels = LabelSets.of(customer);
    return configuration.rules().stream()
        .filter(
            rule ->
                rule.effect() == RuleEffect.ONLY
                    || Selector.parse(rule.customers()).matches(labels))
        .map(PlacementRule::name)
        .toList();
  }
}
