package io.dragonflyturn.internal.http;

/**
 * The authenticated caller of the HTTP API.
 *
 * @param name the name of the customer or operator
 * @param operator whether the caller is an operator
 */
public record Principal(String name, boolean operator) {
  /**
   * Returns the customer whose jobs the caller may see, or an empty string for an operator, who may
   * see all jobs.
   */
  public String visibleCustomer() {
    return operator ? "" : name;
  }
}
