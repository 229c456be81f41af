package io.dragonflyturn.internal.dispatch;

/** What the configuration guarantees to customers. */
@FunctionalInterface
public interface CustomerGuarantees {
  /** Returns the accelerators that belong to a customer's urgent jobs at all times. */
  long acceleratorsOf(String customer);
}
