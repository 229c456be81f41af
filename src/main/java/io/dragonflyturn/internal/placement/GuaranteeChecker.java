package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Checks that a fleet can provide the guaranteed shapes of all customers at the same time, with all
 * failure domains in service and with any one of them out.
 */
public final class GuaranteeChecker {
  private final Topology topology;
  private final RuleSet rules;
  private final BlockSearch search;

  /**
   * Creates a checker for a configuration and the listed workers.
   *
   * @throws SelectorException if a selector of the configuration is malformed
   */
  public GuaranteeChecker(Configuration configuration, List<Worker> workers) {
    topology = new Topology(workers);
    rules = new RuleSet(configuration, topology);
    search = new BlockSearch(topology, new BlockTable());
  }

  /**
   * Returns one problem for each customer whose guarantees cannot be met, with the shapes concerned
   * and the failure domain that is out. If guarantees cannot be met with all failure domains in
   * service, the check with one domain out is skipped.
   */
  public static List<ConfigurationProblem> check(
      Configuration configuration, List<Worker> workers) {
    return new GuaranteeChecker(configuration, workers).check(configuration);
  }

  private List<ConfigurationProblem> check(Configuration configuration) {
    List<Guarantee> guarantees = guarantees(configuration, rules);
    List<ConfigurationProblem> problems = new ArrayList<>();
    long[] allMasks = topology.fullMasks();
    addProblems(
        problems, configuration, allMasks, guarantees, "with every failure domain in service");
    if (!problems.isEmpty()) {
      return problems;
    }
    for (int[] group : topology.groups(Span.FAILURE_DOMAIN)) {
      long[] masks = topology.fullMasks();
      for (int index : group) {
        masks[index] = 0;
      }
      String name = topology.worker(group[0]).failureDomain();
      addProblems(
          problems, configuration, masks, guarantees, "with failure domain " + name + " out");
    }
    return problems;
  }

  /** Returns the guarantees of all customers. */
  static List<Guarantee> guarantees(Configuration configuration, RuleSet rules) {
    List<Guarantee> guarantees = new ArrayList<>();
    for (Customer customer : configuration.customers()) {
      customer
          .guarantees()
          .forEach(
              shape ->
                  guarantees.add(
                      new Guarantee(customer.name(), shape, rules.allowedWorkers(customer))));
    }
    return guarantees;
  }

  private void addProblems(
      List<ConfigurationProblem> problems,
      Configuration configuration,
      long[] masks,
      List<Guarantee> guarantees,
      String circumstance) {
    List<Guarantee> unplaced = new GuaranteePacker(search).pack(masks, guarantees);
    List<String> customers = unplaced.stream().map(Guarantee::customer).distinct().toList();
    for (String customer : customers) {
      String shapes =
          unplaced.stream()
              .filter(guarantee -> guarantee.customer().equals(customer))
              .map(guarantee -> Shapes.describe(guarantee.shape()))
              .collect(Collectors.joining("; "));
      problems.add(
          ConfigurationProblem.error(
              "customers[" + indexOf(configuration, customer) + "].guarantees",
              "customer "
                  + customer
                  + " cannot be given "
                  + shapes
                  + " "
                  + circumstance
                  + "; reduce guarantees, widen their span, or add workers"));
    }
  }

  private static int indexOf(Configuration configuration, String customer) {
    List<Customer> customers = configuration.customers();
    for (int index = 0; index < customers.size(); index++) {
      if (customers.get(index).name().equals(customer)) {
        return index;
      }
    }
    return -1;
  }
}
