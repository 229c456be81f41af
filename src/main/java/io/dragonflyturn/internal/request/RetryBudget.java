package io.dragonflyturn.internal.request;

/**
 * Limits retries and hedges to a fraction of the first attempts, so that they cannot overload the
 * targets.
 */
final class RetryBudget {
  private final double tokensPerRequest;
  private final double capacity;
  private double tokens;

  RetryBudget(double tokensPerRequest, int capacity) {
    this.tokensPerRequest = tokensPerRequest;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Adds the fraction of a retry that a first attempt earns. */
  synchronized void deposit() {
    tokens = Math.min(capacity, tokens + tokensPerRequest);
  }

  /**
   * Withdraws one retry from the budget.
   *
   * @return whether the retry may be made
   */
  synchronized boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
