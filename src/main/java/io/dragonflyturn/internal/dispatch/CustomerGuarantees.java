package io.dragonflyturn.internal.dispatch;

/** The accelerators that the configuration guarantees to customers. */
@FunctionalInterface
public interface CustomerGuarantees {
  /** Returns the number of accelerators that are guaranteed to the urgent jobs of a customer. */
  long acceleratorsOf(String customer);
}
