package io.dragonflyturn.internal.policy;

/** The terms of customers in the newest configuration that this instance has read. */
@FunctionalInterface
public interface CustomerDirectory {
  /** Returns the terms of a customer; {@link CustomerTerms#NONE} if it is unknown. */
  CustomerTerms termsOf(String customer);

  /** Returns whether any customer has a weight, so that customers are served by their shares. */
  default boolean hasWeights() {
    return false;
  }
}
