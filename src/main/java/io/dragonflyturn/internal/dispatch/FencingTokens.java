package io.dragonflyturn.internal.dispatch;

/**
 * Issues the fencing tokens of a term, one for each life of a worker that its leader learns of.
 *
 * <p>A worker does nothing for an order with a lower token than it has seen. So once a worker has
 * answered an order that was made for its present life, orders for its former lives that are still
 * on their way have no effect. All tokens of a term are higher than those of earlier terms.
 */
final class FencingTokens {
  private static final long TOKENS_PER_TERM = 1_000_000;

  private final long firstToken;
  private long issued;

  FencingTokens(long term) {
    this.firstToken = term * TOKENS_PER_TERM;
  }

  /** Returns a token that is higher than all earlier ones, or the last one of the term. */
  long next() {
    long token = firstToken + issued;
    issued = Math.min(issued + 1, TOKENS_PER_TERM - 1);
    return token;
  }
}
