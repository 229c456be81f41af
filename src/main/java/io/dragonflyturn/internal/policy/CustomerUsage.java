package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The resources that the runs of each customer use over all workers. */
public final class CustomerUsage {
  private final Map<String, Resources> usedByCustomer = new HashMap<>();

  /** Creates a usage in which no customer uses anything. */
  public CustomerUsage() {}

  /** Creates a copy, which can be changed without an effect on the original. */
  public CustomerUsage(CustomerUsage original) {
    usedByCustomer.putAll(original.usedByCustomer);
  }

  /** Returns the resources that a customer uses. */
  public Resources of(String customer) {
    return usedByCustomer.getOrDefault(customer, Resources.NONE);
  }

  /** Returns the customers that use any resources. */
  public Set<String> customers() {
    return Set.copyOf(usedByCustomer.keySet());
  }

  /** Adds tasks of a customer, each with the same demand. */
  public void add(String customer, Resources demand, int tasks) {
    store(customer, of(customer).plus(demand.times(tasks)));
  }

  /** Removes tasks that were added before. */
  public void remove(String customer, Resources demand, int tasks) {
    store(customer, of(customer).minus(demand.times(tasks)));
  }

  private void store(String customer, Resources used) {
    if (used.equals(Resources.NONE)) {
      usedByCustomer.remove(customer);
    } else {
      usedByCustomer.put(customer, used);
    }
  }
}
